// What this host knows of the platform's store: route rules, servers, grant tables, leader. Each part only moves
// forward, however often and in which order the same writes are heard of.
#pragma once

#include "control/LeaderSource.h"
#include "decisions/CrashEvidence.h"
#include "decisions/GrantTable.h"
#include "decisions/KnownChanges.h"
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
        bool servers = false;
        bool leader = false;
        bool quarantine = false;
        std::set<std::string> tables; // services

        bool any() const { return rules || servers || leader || quarantine || !tables.empty(); }
    };

    PlatformView(const PlatformAdapter&, const Clock&);

    // --- Writing
    Change applyEvents(int64_t revision, const std::vector<WatchEvent>&);
    // `afterOutage`: servers that are missing may only have lapsed while the store was away. They stay until
    // dropMissing(), and live ones are back by then.
    Change applySnapshot(const RangeReply&, bool afterOutage);
    Change removeMissingServers();
    // From the coordinator: all changes of others after `afterChange`, up to `lastChange`. They count also where a part
    // before them is still missing, since each item only moves forward. Dropped, they would leave a host behind
    // for as long as servers go on leaving: its readings take longer than the next change.
    Change applyNews(int64_t afterChange, int64_t lastChange, const std::vector<WatchEvent>&);
    bool isExternalKey(std::string_view key) const { return m_adapter.itemOf(key) != StoreItem::Other; }
    // What the hosts themselves keep in the store, read alone. A watch then goes on from what this host was told.
    Change applyRouterItems(const RangeReply&);
    // By the coordinator's word there is no write of others after `lastChange` up to `storeRevision`.
    void confirmUnchanged(int64_t lastChange, int64_t storeRevision);
    Change applyItem(const KeyValue&); // read alone
    Change applyTable(GrantTable); // from the coordinator: perhaps newer than the store's

    // --- Reading
    int64_t revision() const override { return m_revision; }
    const LeaderView& leader() const override { return m_leader; }
    int64_t lastChange() const
    {
        return m_knownChanges.complete();
    } // every write of others up to this revision is known
    bool knows(std::string_view key, int64_t revision) const; // that write of others to the key, or a later one
    const std::shared_ptr<const RouteRules>& rules() const { return m_rules; } // null: none yet
    std::shared_ptr<const ServerMap> servers() const { return m_servers; }
    const std::vector<QuarantinedRequest>& quarantine() const { return m_quarantine; } // as in the store
    std::map<std::string, Instant> evacuations() const; // in force: by data centre, since when it is known
    bool hasMissingServers() const { return !m_missing.empty(); }
    std::shared_ptr<const GrantTable> table(std::string_view service) const; // the newest; null: none
    std::shared_ptr<const GrantTable> storedTable(std::string_view service) const; // as in the store
    const std::map<std::string, std::shared_ptr<const GrantTable>, std::less<>>& tables() const { return m_tables; }
    const std::set<std::string, std::less<>>& listedHosts() const { return m_listedHosts; } // as in the store
    int64_t modRevisionOf(const std::string& key) const; // of a table's key; 0: absent
    void recordWritten(const GrantTable&, int64_t modRevision); // this host wrote it
    void recordStored(const GrantTable&, int64_t modRevision); // a reading of the store showed it just now
    void recordListed(std::set<std::string, std::less<>> hosts, int64_t modRevision); // likewise

private:
    void logServer(const RegisteredServer&, int64_t revision);
    void applyEvacuation(const std::string& key, int64_t revision, bool evacuated, Change&);
    void markEvacuated(const std::string& dataCentre, bool evacuated, Change&); // its servers
    void logOmittedRegistrations(); // at the end of a batch
    void applyEvent(const WatchEvent&, Change&);
    void applyValue(const KeyValue&, Change&);
    void applyErased(const std::string& key, int64_t revision, Change&);
    void applyRules(const KeyValue&, Change&);
    void applyServer(const KeyValue&, Change&);
    void dropServer(const std::string& name, int64_t revision, std::string_view why, Change&); // if it is known
    ServerMap& mutableServers(Change&);

    const PlatformAdapter& m_adapter;
    const Clock& m_clock;
    int64_t m_revision = 0;
    int64_t m_snapshotRevision = 0; // of the last reading of everything
    KnownChanges m_knownChanges; // of the writes of others
    // Nothing that this host doesn't know was written up to this revision. Apart from m_known, since hosts compare that
    // with each other's: it moves with the writes of others only.
    int64_t m_unchangedUpTo = 0;
    std::shared_ptr<const RouteRules> m_rules;
    int64_t m_rulesRevision = 0; // of the document that was read last
    std::shared_ptr<ServerMap> m_servers = std::make_shared<ServerMap>(); // copied before it changes
    // What is known of a server's entry, by the server's name.
    struct ServerEntry {
        int64_t revision = 0; // of its last write or erasure
        int64_t born = 0; // of the incarnation that it named last
        int64_t olderBorn = 0; // of an older incarnation that it named after that one; 0: none
        std::string id; // of the incarnation that it names now; empty: none
    };
    std::map<std::string, ServerEntry> m_serverEntries;
    // What is known of a data centre's evacuation.
    struct Evacuation {
        std::string key {}; // of its item
        int64_t revision = 0; // of the item's last write or erasure
        bool inForce = false;
        Instant since {}; // it was heard of, or of its end
    };
    std::map<std::string, Evacuation, std::less<>> m_evacuations; // by data centre
    // Servers that lapsed, perhaps only while the store was away: by name, the revision of the reading without them.
    std::map<std::string, int64_t> m_missing;
    std::map<std::string, std::shared_ptr<const GrantTable>, std::less<>> m_tables;
    std::map<std::string, std::shared_ptr<const GrantTable>, std::less<>> m_storedTables;
    std::map<std::string, int64_t> m_tableRevisions; // by key
    size_t m_batchRegistrations = 0; // in the present batch
    LeaderView m_leader;
    std::set<std::string, std::less<>> m_listedHosts;
    int64_t m_listedRevision = 0;
    std::vector<QuarantinedRequest> m_quarantine;
    int64_t m_quarantineRevision = 0;
};

}
