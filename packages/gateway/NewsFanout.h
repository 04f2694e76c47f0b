// Passes news on to other hosts: the coordinator to relays and single hosts, a relay to its group.
//
// A message that can't be delivered is not kept: the host that misses it sees so by the answer to its next report, and
// reads the store.
#pragma once

#include "base/Time.h"
#include "decisions/RelayPlan.h"
#include "peers/Coordination.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cumindale {

// To one host, in order; what comes while a message is under way goes with the next one.
class NewsLink : public std::enable_shared_from_this<NewsLink> {
public:
    using FailureHandler = std::function<void(const wire::News&)>; // the message was not answered

    NewsLink(boost::asio::any_io_executor, std::unique_ptr<CoordinationLink>, FailureHandler);
    void enqueue(const wire::News&);

private:
    boost::asio::awaitable<void> sendAll(std::shared_ptr<NewsLink>); // keeps itself alive until all is sent

    boost::asio::any_io_executor m_executor;
    std::unique_ptr<CoordinationLink> m_link;
    FailureHandler m_onFailure;
    wire::News m_unsent;
    bool m_hasUnsent = false;
    bool m_sending = false;
};

// What a relay does: one message, to each of the addresses that it names.
class NewsRelay {
public:
    NewsRelay(boost::asio::any_io_executor, Counter& bytesSent);
    void forward(const wire::News&);

private:
    boost::asio::any_io_executor m_executor;
    Counter& m_bytesSent;
    std::map<std::string, std::shared_ptr<NewsLink>, std::less<>> m_links; // by address
};

// What the coordinator does: groups of hosts, each behind a relay.
class NewsFanout {
public:
    NewsFanout(boost::asio::any_io_executor, const Clock&, Counter& bytesSent);

    // --- Who is told
    void updateHost(
        const std::string& host, const std::string& address, const std::string& dataCentre, double strength);
    void removeHost(std::string_view host);
    void clear();

    void publish(const wire::News&);

private:
    struct Host {
        std::string address; // "IP:port" of its peer port
        std::string dataCentre;
        double strength = 0; // cores
        Instant mayRelayFrom {}; // it failed as a relay, and is none until then
        std::shared_ptr<NewsLink> link; // null: not needed yet
    };
    struct Group {
        std::string relay;
        std::vector<std::string> members;
        std::shared_ptr<NewsLink> link;
    };

    void regroup();
    void sendDirectly(const std::string& host, const wire::News&);
    void onRelayFailed(const std::string& relay, const std::vector<std::string>& members, const wire::News&);

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    Counter& m_bytesSent;
    std::map<std::string, Host, std::less<>> m_hosts;
    std::vector<Group> m_groups;
    bool m_groupsOutdated = false; // since the groups were planned
};

}
