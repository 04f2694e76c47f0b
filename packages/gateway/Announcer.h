// Sends changes from the coordinator to the other hosts: each change at once, and with the answer to a report the
// changes that the reporting host has missed.
#pragma once

#include "decisions/ChangeHistory.h"
#include "decisions/DocumentRepeats.h"
#include "decisions/GrantTable.h"
#include "gateway/NewsFanout.h"
#include "peers/Coordination.h"
#include "store/Store.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cumindale {

class Announcer {
public:
    using Tables = std::map<std::string, std::shared_ptr<const GrantTable>, std::less<>>; // by service

    using KeyPredicate = std::function<bool(std::string_view key)>;

    // `isDocument`: whether the item of this key is the operators' document, which never waits behind other items.
    Announcer(boost::asio::any_io_executor, const Clock&, Counter& bytesSent, KeyPredicate isDocument);

    // --- Recipients
    void updateHost(const wire::HostReport&);
    void removeHost(std::string_view host);
    void onTermEnded(); // removes all hosts and published tables; the history of changes in the store is kept

    // --- Changes
    // `events` are all writes to the store after `afterChange` up to `lastChange`, without those of the hosts
    // themselves. A host that is not the leader only records them, so that as a new coordinator it can send hosts the
    // changes that its predecessor did not send.
    void onStoreChanges(int64_t afterChange, int64_t lastChange, const std::vector<WatchEvent>&, bool isLeader);
    bool hasPublished(const std::string& service, uint64_t edition) const; // this edition or a later one, in this term
    void publish(const GrantTable&);
    void publishSnapshot(const wire::News& news) { m_news.publish(news); }
    void publishCrashes(int64_t edition, std::vector<int64_t> suspects, std::vector<int64_t> quarantined);
    void publishCrowded(
        const std::vector<std::string>& servers); // hosts need a permit for each request to these servers from now on

    // Whether the host needs a whole table, not the last changes of one.
    bool needsWholeTable(const wire::HostReport&, const Tables&) const;
    // Adds to the advice the changes and tables that are newer than those that the report names. `mayBeLarge`: the
    // answer may carry whole tables; else they follow with a later one.
    void addMissedChanges(const wire::HostReport&, const Tables&, bool mayBeLarge, wire::HostAdvice&);

    const wire::PackedTable& packed(const GrantTable&); // made once for each edition

private:
    struct RecentChange {
        TableEdition from; // the edition that the change applies to
        std::string encoded;
    };

    using RecentChanges = std::deque<RecentChange>; // each applies to the result of the one before
    // The one that applies to this edition; the end: it is no longer kept.
    static RecentChanges::const_iterator changeFrom(const RecentChanges&, const TableEdition&);
    void addTableUpdate(
        const GrantTable&, const wire::HostReport&, const TableEdition& known, bool mayBeLarge, wire::HostAdvice&);
    void addMissedItems(const std::vector<ItemChange>&, const wire::HostReport&, bool mayBeLarge, wire::HostAdvice&);
    void addMissedDocument(const wire::HostReport&, wire::HostAdvice&);
    bool addKeptPack(const wire::HostReport&, wire::HostAdvice&); // false: none is kept of what the host has missed
    void keepPack(int64_t knownRevision, const std::vector<wire::StoreItem>&);

    const Clock& m_clock;
    KeyPredicate m_isDocument;
    NewsFanout m_news;
    ChangeHistory m_history;
    // Of the changes after the revision up to m_packedUpTo. Hosts that have missed the same changes ask at about the
    // same time.
    struct PackedChanges {
        wire::PackedItems items;
        Instant at {};
    };
    std::map<int64_t, PackedChanges> m_packedSince;
    int64_t m_packedUpTo = 0;
    ItemChange m_document; // the newest one that is known; no key: none
    DocumentRepeats m_documentRepeats;
    std::map<std::string, GrantTable> m_published; // by service, as sent to the hosts
    struct PackedEdition {
        TableEdition edition;
        wire::PackedTable table;
    };
    std::map<std::string, PackedEdition> m_packed; // by service; the last one that was sent
    std::map<std::string, RecentChanges> m_recentChanges; // of tables, by service
};

}
