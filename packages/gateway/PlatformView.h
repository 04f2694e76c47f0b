// This host's view of the platform's store: route rules, servers, grant tables, leader. Each item only moves to newer
// revisions, however often and in whatever order its writes arrive.
//
// External writes are those to items that the platform owns (route rules, servers, evacuations), as opposed to the
// router's own items (leader, grant tables, listed hosts, quarantine).
#pragma once

#include "control/LeaderSource.h"
#include "decisions/CrashEvidence.h"
#include "decisions/EntryReads.h"
#include "decisions/GrantTable.h"
#include "decisions/KnownChanges.h"
#include "decisions/RulesFreshness.h"
#include "gateway/Messages.h"
#include "gateway/PlatformAdapter.h"
#include "store/Store.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cumindale {

class PlatformView final : public LeaderSource {
public:
    // Which parts changed.
    struct Change {
        bool rules = false;
        std::set<std::string> servers; // ids
        bool leader = false;
        bool quarantine = false;
        std::set<std::string> tables; // services
        // External writes that say something new, in order. Most writes are heartbeats of servers, which don't.
        std::vector<WatchEvent> news;

        bool any() const { return rules || !servers.empty() || leader || quarantine || !tables.empty(); }
    };

    // `rulesDeadline`: as for RulesFreshness.
    PlatformView(const PlatformAdapter&, const Clock&, Millis rulesDeadline);

    // --- Updates
    Change applyEvents(int64_t revision, const std::vector<WatchEvent>&);
    // `afterOutage`: entries of live servers may have expired while the store was unavailable. Missing servers are kept
    // until removeMissingServers(), so that live ones can register again.
    Change applySnapshot(const RangeReply&, bool afterOutage);
    // The coordinator's copy of all items that the platform owns but the rules, as of `revision`; ages as for events.
    Change applyRelayedSnapshot(int64_t revision, const std::vector<KeyValue>&);
    Change removeMissingServers();
    // From the coordinator: all external writes after `afterChange`, up to `lastChange`. They apply even if earlier
    // writes are still missing, since each item only moves to newer revisions. If they were dropped, a host would stay
    // behind for as long as servers go on leaving: reading the store takes longer than the time to the next change.
    Change applyNews(int64_t afterChange, int64_t lastChange, const std::vector<WatchEvent>&);
    bool isExternalKey(std::string_view key) const { return m_adapter.itemOf(key) != StoreItem::Other; }
    // A read of the router's own items alone. A watch then continues from the newest revision up to which this host
    // knows all external writes.
    Change applyRouterItems(const RangeReply&);
    Change applyLeader(const RangeReply&); // a read of the leader's key alone
    Change applyLeaderEvents(const std::vector<WatchEvent>&); // from a watch of the leader's key alone
    // The coordinator reports that there is no external write after `lastChange` up to `storeRevision`.
    void confirmUnchanged(int64_t lastChange, int64_t storeRevision);
    Change applyItem(const KeyValue&); // a read of one item
    // The store's newest document had this revision at `asOf`, and no newer one was written up to `storeRevision`.
    void confirmRules(int64_t revision, Instant asOf, int64_t storeRevision)
    {
        m_freshness.confirmed(revision, asOf, storeRevision);
    }
    // The same of the newest document that this host has received.
    void confirmRules(Instant asOf, int64_t storeRevision)
    {
        confirmRules(m_freshness.revision(), asOf, storeRevision);
    }
    // The same by a check of the document alone.
    void recordRulesCheck(Instant asOf, int64_t storeRevision)
    {
        m_freshness.checked(m_freshness.revision(), asOf, storeRevision);
    }
    void setReportInterval(Millis interval) { m_freshness.setReportInterval(interval); }
    void announceRules(int64_t revision) { m_freshness.announced(revision); } // the document arrives later
    bool isRulesKey(std::string_view key) const { return m_adapter.itemOf(key) == StoreItem::Rules; }
    Change applyTable(GrantTable); // from the coordinator; may be newer than the one in the store

    // --- Queries
    int64_t revision() const { return m_revision; } // highest store revision seen; 0: no snapshot yet
    bool knowsLeader() const override { return m_revision > 0 || m_hasReadLeader; }
    const LeaderView& leader() const override { return m_leader; }
    // All external writes up to this revision that said something new are known.
    int64_t lastChange() const { return m_knownChanges.complete(); }
    // Whether this external write to the key, or a later one, is known.
    bool knows(std::string_view key, int64_t revision) const;
    const std::shared_ptr<const RouteRules>& rules() const { return m_rules; } // null: none yet
    const RulesFreshness& rulesFreshness() const { return m_freshness; }
    // The map itself, which later updates change. Only for this host's control thread.
    std::shared_ptr<const ServerMap> servers() const { return m_servers; }
    uint64_t serversEdition() const { return m_serversEdition; } // grows with each change of the servers
    // The present entries of these servers, for the routing thread.
    std::vector<ServerChange> changesOf(const std::set<std::string>& ids) const;
    std::vector<ServerChange> allServers() const;
    const std::vector<QuarantinedRequest>& quarantine() const { return m_quarantine; } // as in the store
    // Data centre -> when this host learned of its evacuation. Active evacuations only.
    std::map<std::string, Instant> evacuations() const;
    // What applyRelayedSnapshot() takes, as of lastChange().
    std::vector<KeyValue> platformItems() const;
    bool hasMissingServers() const { return !m_missing.empty(); }
    std::shared_ptr<const GrantTable> table(std::string_view service) const; // the newest; null: none
    std::shared_ptr<const GrantTable> storedTable(std::string_view service) const; // as in the store
    const std::map<std::string, std::shared_ptr<const GrantTable>, std::less<>>& tables() const { return m_tables; }
    const std::set<std::string, std::less<>>& listedHosts() const { return m_listedHosts; } // as in the store
    int64_t modRevisionOf(const std::string& key) const; // of a table's key; 0: absent
    const std::optional<FleetSize>& storedFleetSize() const { return m_fleetSize; }
    void recordFleetSize(const FleetSize& size) { m_fleetSize = size; } // after a write by this host
    int64_t listedRevision() const { return m_listedRevision; } // of the list of hosts; 0: absent
    void recordWritten(const GrantTable&, int64_t modRevision); // after a write by this host
    void recordStored(const GrantTable&, int64_t modRevision); // after a read of the store
    // After a write by this host, or a read of the store.
    void recordListed(std::set<std::string, std::less<>> hosts, int64_t modRevision);

private:
    // All items of `values` as of `revision`; those that the platform owns and that are missing there are gone.
    Change applyItems(int64_t revision, const std::vector<KeyValue>& values, bool afterOutage);
    void logServer(const RegisteredServer&, const KeyValue& entry);
    void applyEvacuation(const KeyValue&, bool inForce, Change&);
    void markEvacuated(const std::string& dataCentre, bool evacuated, Change&); // sets the flag of its servers
    void logOmittedRegistrations(); // at the end of a batch
    // These return whether the write said something new.
    bool applyEvent(const WatchEvent&, Change&);
    bool applyValue(const KeyValue&, Change&);
    bool applyServer(const KeyValue&, Change&);
    void applyErased(const std::string& key, int64_t revision, Change&);
    void applyRules(const KeyValue&, Change&);
    // Does nothing if the server is not known.
    void dropServer(const std::string& name, int64_t revision, std::string_view why, Change&);
    RegisteredServer& editServer(const std::string& id, Change&);

    const PlatformAdapter& m_adapter;
    const Clock& m_clock;
    int64_t m_revision = 0;
    int64_t m_snapshotRevision = 0; // of the last read of the whole store
    KnownChanges m_knownChanges; // external writes that said something new
    // There is no external write up to this revision that this host doesn't know. Kept apart from m_knownChanges, whose
    // revision hosts compare with each other and which therefore moves with external writes only.
    int64_t m_unchangedUpTo = 0;
    std::shared_ptr<const RouteRules> m_rules;
    RulesFreshness m_freshness; // of the rules document
    std::shared_ptr<ServerMap> m_servers = std::make_shared<ServerMap>();
    uint64_t m_serversEdition = 0;
    // State of a server's entry in the store.
    struct ServerEntry {
        int64_t revision = 0; // of its last write or deletion
        int64_t born = 0; // start time of the newest incarnation that it has named
        int64_t olderBorn = 0; // of an older incarnation in a later write of the entry; 0: none
        std::string id; // of the incarnation in the entry; empty: no server
        std::string key; // in the store
        std::string value; // as last written with something new, for hosts that lack it
    };
    std::map<std::string, ServerEntry> m_serverEntries;
    // State of a data centre's evacuation.
    struct Evacuation {
        std::string key {}; // of the evacuation's item in the store
        int64_t revision = 0; // of the item's last write or deletion
        bool inForce = false;
        Instant since {}; // when this host learned of the last start or end
    };
    std::map<std::string, Evacuation, std::less<>> m_evacuations; // by data centre
    // Known servers that were missing in a snapshot, perhaps because their entries expired while the store was
    // unavailable: name -> revision of that snapshot.
    std::map<std::string, int64_t> m_missing;
    std::map<std::string, std::shared_ptr<const GrantTable>, std::less<>> m_tables;
    std::map<std::string, std::shared_ptr<const GrantTable>, std::less<>> m_storedTables;
    std::map<std::string, int64_t> m_tableRevisions; // by key
    size_t m_batchRegistrations = 0; // in the current batch
    LeaderView m_leader;
    bool m_hasReadLeader = false; // apart from a snapshot
    std::set<std::string, std::less<>> m_listedHosts;
    int64_t m_listedRevision = 0;
    std::optional<FleetSize> m_fleetSize; // as in the store
    std::vector<QuarantinedRequest> m_quarantine;
    int64_t m_quarantineRevision = 0;
};

}
