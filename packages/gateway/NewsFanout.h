// Distributes news to other hosts: the coordinator sends them to relays and single hosts, a relay to its group.
//
// A message that can't be delivered is dropped. The host that missed it detects this by the answer to its next report,
// and reads the store.
#pragma once

#include "base/Time.h"
#include "decisions/RelayPlan.h"
#include "gateway/BulkPacer.h"
#include "gateway/NewsQueue.h"
#include "peers/Coordination.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cumindale {

// Sends news to one host, one message at a time.
class NewsLink : public std::enable_shared_from_this<NewsLink> {
public:
    using FailureHandler = std::function<void(const wire::News&)>; // called with a message that was not answered

    // `pacer`: of all links of this host.
    NewsLink(boost::asio::any_io_executor, std::unique_ptr<CoordinationLink>, std::shared_ptr<BulkPacer> pacer,
        FailureHandler);
    using Timeout = Millis (*)(size_t bytes, size_t copies); // of one message; deliveryTimeout or fanoutTimeout
    // `copies`: links of this host over which the same news are sent.
    void enqueue(const wire::News&, size_t copies = 1, Timeout = deliveryTimeout);

private:
    boost::asio::awaitable<bool> send(const wire::News&);
    boost::asio::awaitable<void> sendAll(
        std::shared_ptr<NewsLink>); // the argument keeps this object alive until all is sent

    boost::asio::any_io_executor m_executor;
    std::unique_ptr<CoordinationLink> m_link;
    std::shared_ptr<BulkPacer> m_pacer;
    FailureHandler m_onFailure;
    NewsQueue m_unsent;
    size_t m_copies = 1;
    Timeout m_timeout = deliveryTimeout;
    bool m_sending = false;
};

// The relay's side: forwards a message to each of the addresses that the message names.
class NewsRelay {
public:
    NewsRelay(boost::asio::any_io_executor, Counter& bytesSent);
    void forward(const wire::News&);

private:
    boost::asio::any_io_executor m_executor;
    Counter& m_bytesSent;
    SystemClock m_clock;
    std::shared_ptr<BulkPacer> m_pacer;
    std::map<std::string, std::shared_ptr<NewsLink>, std::less<>> m_links; // by address
};

// Fewer bytes aren't worth packing: a message costs some hundred bytes anyway.
constexpr size_t minBytesToPack = 2'048;

// The coordinator's side: divides the hosts into groups and sends the news to one relay of each group.
class NewsFanout {
public:
    NewsFanout(boost::asio::any_io_executor, const Clock&, Counter& bytesSent);

    // --- Recipients
    void updateHost(const std::string& host, const std::string& address, const std::string& dataCentre, double strength,
        bool readsPacked);
    void removeHost(std::string_view host);
    void clear();

    void publish(const wire::News&);

private:
    struct Host {
        std::string address; // "IP:port" of the host's peer port
        std::string dataCentre;
        double strength = 0; // cores
        bool readsPacked = false; // as in wire::HostReport
        Instant mayRelayFrom {}; // after a failure as a relay, the host is not a relay until this time
        std::shared_ptr<NewsLink> link; // for sending directly; null: not used yet
    };
    struct Group {
        std::string relay;
        std::vector<std::string> members; // without the relay
        bool readsPacked = false; // all of them do
        std::shared_ptr<NewsLink> link; // to the relay; null: the group has no other members
    };

    void regroup();
    // `packed`: the same news with packed items, for hosts that read them.
    void sendDirectly(const std::string& host, const wire::News&, const wire::News& packed);
    void onRelayFailed(const std::string& relay, const std::vector<std::string>& members, const wire::News&);

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    Counter& m_bytesSent;
    std::shared_ptr<BulkPacer> m_pacer;
    std::map<std::string, Host, std::less<>> m_hosts;
    std::vector<Group> m_groups;
    bool m_groupsOutdated = false; // the hosts have changed since m_groups was planned
};

}
