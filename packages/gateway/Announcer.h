// What the coordinator tells the other hosts: changes as they come, and with the answer to each report what its sender
// has missed of them.
#pragma once

#include "decisions/ChangeHistory.h"
#include "decisions/GrantTable.h"
#include "gateway/NewsFanout.h"
#include "peers/Coordination.h"
#include "store/Store.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cumindale {

class Announcer {
public:
    using Tables = std::map<std::string, std::shared_ptr<const GrantTable>, std::less<>>; // by service

    Announcer(boost::asio::any_io_executor, const Clock&, Counter& bytesSent);

    // --- Who is told
    void updateHost(const wire::HostReport&);
    void removeHost(std::string_view host);
    void onTermEnded(); // nobody any more; what others wrote is still remembered

    // --- What is told
    // All writes of others after `afterChange`, up to `lastChange`. Out of office they are remembered only, so that a
    // new coordinator can tell hosts what its predecessor did not.
    void onStoreChanges(int64_t afterChange, int64_t lastChange, const std::vector<WatchEvent>&, bool isLeader);
    bool hasPublished(const std::string& service, uint64_t edition) const; // it or a later one, in this office
    void publish(const GrantTable&);
    void publishCrashes(int64_t edition, std::vector<int64_t> suspects, std::vector<int64_t> quarantined);
    void publishCrowded(const std::vector<std::string>& servers); // nothing goes there without a permit from now on

    // Adds what follows the change and the tables that the sender knows.
    void addMissedChanges(const wire::HostReport&, const Tables&, wire::HostAdvice&) const;

private:
    struct RecentChange {
        TableEdition from;
        std::string encoded; // encoded
    };

    void addTableUpdate(const GrantTable&, const TableEdition& known, wire::HostAdvice&) const;

    NewsFanout m_news;
    ChangeHistory m_history;
    std::map<std::string, GrantTable> m_published; // by service, as the hosts were told
    std::map<std::string, std::deque<RecentChange>>
        m_recentChanges; // of tables, by service; each follows the one before
};

}
