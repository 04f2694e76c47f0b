// Slots of backend servers that are granted by brokers: the router's side, the broker's side on hosts that are brokers,
// and the datagrams between them. The decisions are in decisions/SlotClient.h and SlotBroker.h. Everything here runs on
// the routing thread.
#pragma once

#include "base/Metrics.h"
#include "decisions/SlotBroker.h"
#include "decisions/SlotClient.h"
#include "gateway/UpstreamRegistry.h"
#include "peers/SlotDatagrams.h"
#include "resources/Settings.h"
#include "web/Signal.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cumindale {

// The servers of each pool, from what this host knows of them.
class PoolDirectory final : public ServerDirectory {
public:
    PoolDirectory(const UpstreamRegistry&, const Clock&);
    std::vector<PoolServer> serversOf(std::string_view pool) const override;

private:
    // Ids of the servers of each pool of a service.
    struct ServicePools {
        uint64_t membersEdition = 0;
        std::vector<std::vector<std::string>> pools;
    };
    const ServicePools& poolsOf(std::string_view service) const;

    const UpstreamRegistry& m_servers;
    const Clock& m_clock;
    mutable std::map<std::string, ServicePools, std::less<>> m_pools; // by service; made when needed
};

struct SlotExchangeOptions {
    std::string host;
    std::string dataCentre;
    Endpoint peers; // datagrams go between the hosts' peer ports
    SlotBrokerMode mode = SlotBrokerMode::Auto;
};

class SlotExchange {
public:
    // How a request's wait for a slot ended.
    struct Result {
        enum class Kind : uint8_t {
            Granted,
            Refused, // it would not be served in time
            Evicted, // the server gets no such requests any more
            NoBroker, // no broker answers or knows a server
        };
        Kind kind = Kind::NoBroker;
        TicketId ticket = 0; // if granted: for release()
        std::string server; // if granted
        Millis wait { 0 }; // if refused: after this time a slot is expected
    };

    SlotExchange(boost::asio::any_io_executor, const Clock&, SlotExchangeOptions, const UpstreamRegistry&, Metrics&);
    ~SlotExchange();
    void start();
    bool isOpen() const { return m_socket && m_socket->isOpen(); } // this host may be a broker
    void setBrokers(std::shared_ptr<const BrokerList>);

    // Whether brokers grant the slots of this server. `hosts`: number that share the servers.
    bool appliesTo(const Upstream&, const RouteRules&, size_t hosts, Instant now) const;
    std::string poolOf(const Upstream&, bool keyed) const;

    // `preferred`: a server to which this host has a connection, or empty.
    boost::asio::awaitable<Result> acquire(
        std::string pool, SlotRequest, std::string preferred, std::vector<std::string> excluded);
    // For a request that uses a slot without a grant, since no broker answered.
    TicketId useWithoutGrant(const std::string& pool, const std::string& server, Instant deadline);
    void release(TicketId, Millis took, bool refused); // 0 is no ticket
    void evict(std::string_view server); // ends all waits for this server alone
    std::string statusText() const; // JSON, for operators

private:
    struct Waiter {
        Signal signal;
        std::string pool;
        std::optional<Result> result;
    };

    void schedulePump();
    void pump(); // sends what is due, until no message between this host's own sides is left
    void onDatagram(SlotMessage, std::string_view from);
    void deliver(const Broker&, SlotMessage);
    void sendReplies();
    void finish(const SlotOutcome&);
    void logSilence(Instant now);
    void wakeIfIdle();
    boost::asio::awaitable<void> tickLoop();

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    SlotExchangeOptions m_options;
    const UpstreamRegistry& m_servers;
    Counter& m_granted;
    Counter& m_refused;
    Counter& m_withoutBroker;
    Counter& m_silences;
    Distribution& m_grantDelay;
    PoolDirectory m_directory;
    SlotBroker m_broker;
    uint64_t m_incarnation; // of this process
    SlotClient m_client;
    std::unique_ptr<SlotSocket> m_socket;
    std::shared_ptr<const BrokerList> m_brokers; // null: none known yet
    std::map<std::string, std::string, std::less<>> m_addresses; // of hosts that have asked this one, by name
    std::unordered_map<TicketId, Waiter*> m_waiters;
    bool m_pumpScheduled = false;
    bool m_pumping = false;
    std::vector<std::string> m_silentBrokers; // as logged
    bool m_brokerActive = false; // hosts have asked this one not long ago
    bool m_idle = false; // the tick loop waits for m_active
    Signal m_active; // there is something to wait for
};

}
