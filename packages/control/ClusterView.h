// This host's copy of the store's content: resources, roster, tables and leader.
//
// The same write can arrive several times and in any order: from the watch, from reads of the store and from peers.
// No part ever goes back to an older state: a resource is replaced only by a later revision, a table or the roster only
// by a higher version.
#pragma once

#include "control/LeaderSource.h"
#include "decisions/Resources.h"
#include "decisions/Roster.h"
#include "decisions/RoutingLease.h"
#include "decisions/SliceTable.h"
#include "store/Store.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace cumindale {

// A resource as its operator wrote it, and the revision of that write.
struct ResourceEntry {
    std::string kind;
    std::string name;
    int64_t revision = 0;
    std::string text; // as stored
};

// The parts of a ClusterView that an update changed.
struct ViewChange {
    bool resources = false;
    bool roster = false;
    bool leader = false;
    std::set<std::string> tables; // services whose table changed

    bool any() const { return resources || roster || leader || !tables.empty(); }
};

class ClusterView final : public LeaderSource {
public:
    // --- Writing
    ViewChange applyEvents(int64_t revision, const std::vector<WatchEvent>&);
    // The reply is for all keys under storePrefix; resources and the leader missing from it count as deleted.
    ViewChange applySnapshot(const RangeReply&);
    ViewChange applyTable(SliceTable, int64_t modRevision); // modRevision 0: unknown, for a table received from a peer
    ViewChange applyRoster(Roster, int64_t modRevision);
    ViewChange applyPeerResources(std::string_view text); // the result of resourcesForPeers() on another host

    // --- Reading
    // Whether the reply has every resource of this view, with the same text or at least the same revision.
    bool coveredBy(const RangeReply&) const;
    int64_t revision() const { return m_revision; } // highest store revision seen; 0: the store was never read
    bool knowsLeader() const override { return m_revision > 0; }
    const std::shared_ptr<const Resources>& resources() const { return m_resources; }
    const std::shared_ptr<const Roster>& roster() const { return m_roster; }
    const LeaderView& leader() const override { return m_leader; }
    std::shared_ptr<const SliceTable> table(std::string_view service) const; // null if the service has no known table
    const std::map<std::string, std::shared_ptr<const SliceTable>, std::less<>>& tables() const { return m_tables; }
    int64_t modRevisionOf(const std::string& key) const; // for the conditions of transactions; 0 if unknown
    std::string resourcesForPeers() const;
    const std::shared_ptr<const std::vector<ResourceEntry>>& entries() const { return m_entries; }
    size_t malformedValues() const { return m_malformedValues; } // failed attempts to decode a stored value

private:
    struct Document {
        int64_t modRevision = 0;
        bool erased = false; // a tombstone, kept so that an older write can't restore the resource
        std::string text;
    };

    void applyValue(const KeyValue&, ViewChange&);
    void applyErased(const std::string& key, int64_t revision, ViewChange&);
    void rebuildResources();

    int64_t m_revision = 0;
    std::map<std::string, Document> m_documents; // resources, by store key
    std::shared_ptr<const Resources> m_resources = std::make_shared<Resources>();
    std::shared_ptr<const std::vector<ResourceEntry>> m_entries = std::make_shared<std::vector<ResourceEntry>>();
    std::shared_ptr<const Roster> m_roster = std::make_shared<Roster>();
    std::map<std::string, std::shared_ptr<const SliceTable>, std::less<>> m_tables;
    std::map<std::string, int64_t> m_modRevisions; // of tables, roster and leader
    LeaderView m_leader;
    size_t m_malformedValues = 0;
};

// The versions of the roster and the tables in a reply of the store, for the routing lease.
KnownVersions versionsIn(const RangeReply&);

}
