#include "gateway/SlotExchange.h"

#include "base/Log.h"
#include "base/Random.h"
#include "decisions/ServerLimit.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>

namespace cumindale {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    // Between two looks at timeouts while requests wait or this host is a broker: a third of the time after which a
    // broker counts as silent.
    constexpr Millis tickInterval { 10 };
    constexpr size_t listedPools = 20; // in the status text

    std::string_view toString(SlotBrokerMode mode)
    {
        switch (mode) {
        case SlotBrokerMode::Auto:
            return "auto";
        case SlotBrokerMode::On:
            return "on";
        case SlotBrokerMode::Off:
            return "off";
        }
        return "auto";
    }

    PoolServer poolServerOf(const RegisteredServer& entry)
    {
        return { entry.id, entry.dataCentre, std::max(1U, entry.slots) };
    }

}

// --- Servers of a pool

PoolDirectory::PoolDirectory(const UpstreamRegistry& servers, const Clock& clock)
    : m_servers(servers)
    , m_clock(clock)
{
}

std::vector<PoolServer> PoolDirectory::serversOf(std::string_view pool) const
{
    const PoolName name = parsePool(pool);
    std::vector<PoolServer> servers;
    if (name.service.empty()) {
        // The hosts decide whether requests for its keys may still go to the server.
        if (const RegisteredServer* entry = m_servers.entryOf(name.server))
            servers.push_back(poolServerOf(*entry));
        return servers;
    }
    const Instant now = m_clock.now();
    const auto& pools = poolsOf(name.service).pools;
    if (name.index >= pools.size())
        return servers;
    for (const auto& id : pools[name.index]) {
        const RegisteredServer* entry = m_servers.entryOf(id);
        if (entry && m_servers.takesNewWork(*entry, now))
            servers.push_back(poolServerOf(*entry));
    }
    return servers;
}

// All servers of a service are divided at once: a service may have thousands of servers and hundreds of pools.
const PoolDirectory::ServicePools& PoolDirectory::poolsOf(std::string_view service) const
{
    constexpr size_t maxServices = 1'000; // a message may name any service
    const uint64_t edition = m_servers.membersEdition();
    auto found = m_pools.find(service);
    if (found != m_pools.end() && found->second.membersEdition == edition)
        return found->second;
    if (found == m_pools.end()) {
        if (m_pools.size() >= maxServices)
            m_pools.clear();
        found = m_pools.emplace(std::string(service), ServicePools {}).first;
    }
    const size_t count = poolCount(m_servers.countOf(service));
    found->second = { edition, std::vector<std::vector<std::string>>(count) };
    m_servers.forEachServer(
        service, [&](const std::string& id) { found->second.pools[poolIndexOf(id, count)].push_back(id); });
    return found->second;
}

// --- Start, brokers

SlotExchange::SlotExchange(asio::any_io_executor executor, const Clock& clock, SlotExchangeOptions options,
    const UpstreamRegistry& servers, Metrics& metrics)
    : m_executor(executor)
    , m_clock(clock)
    , m_options(std::move(options))
    , m_servers(servers)
    , m_granted(metrics.counter("slots_granted"))
    , m_refused(metrics.counter("slots_refused"))
    , m_withoutBroker(metrics.counter("slots_without_broker"))
    , m_silences(metrics.counter("slot_brokers_silent"))
    , m_grantDelay(metrics.distribution("slot_wait"))
    , m_directory(servers, clock)
    , m_broker({}, m_directory)
    , m_incarnation(randomNumber())
    , m_client({}, m_options.host, m_incarnation)
    , m_active(executor)
{
    if (m_options.mode == SlotBrokerMode::Off)
        return;
    m_socket = std::make_unique<SlotSocket>(
        m_executor, m_options.peers.address, m_options.peers.port,
        [this](SlotMessage message, std::string_view from) { onDatagram(std::move(message), from); },
        metrics.counter("slots_bytes_sent"));
}

SlotExchange::~SlotExchange() = default;

void SlotExchange::start()
{
    if (m_socket)
        spawnLoop(m_executor, "slots", tickLoop());
}

void SlotExchange::setBrokers(std::shared_ptr<const BrokerList> brokers)
{
    if (!m_socket || !m_socket->isOpen() || !brokers || brokers == m_brokers)
        return;
    m_brokers = brokers;
    m_client.setBrokers(std::move(brokers));
    m_active.notifyAll(); // the list takes effect with the next advance()
}

bool SlotExchange::appliesTo(const Upstream& server, const RouteRules& rules, size_t hosts, Instant now) const
{
    if (m_options.mode == SlotBrokerMode::Off || !m_client.hasBrokers())
        return false;
    // A rate limit and a warm-up have rules of their own, which the hosts follow without a broker.
    if (server.rateLimit() || server.warmingUp(now) || server.replaced)
        return false;
    if (m_options.mode == SlotBrokerMode::On)
        return true;
    return hostsExceedQueue(hosts, server.entry.slots) && rules.ranksCompete();
}

std::string SlotExchange::poolOf(const Upstream& server, bool keyed) const
{
    if (keyed)
        return poolOfServer(server.entry.id);
    const size_t pools = poolCount(m_servers.countOf(server.entry.service));
    return poolOfService(server.entry.service, poolIndexOf(server.entry.id, pools));
}

// --- Requests

asio::awaitable<SlotExchange::Result> SlotExchange::acquire(
    std::string pool, SlotRequest request, std::string preferred, std::vector<std::string> excluded)
{
    const Instant asked = m_clock.now();
    const TicketId ticket = m_client.ask(pool, request, std::move(preferred), std::move(excluded), asked);
    Waiter waiter { Signal(m_executor), std::move(pool), std::nullopt };
    m_waiters.emplace(ticket, &waiter);
    wakeIfIdle();
    schedulePump();
    for (Instant now = asked; !waiter.result && now < request.deadline; now = m_clock.now())
        co_await waiter.signal.wait(request.deadline - now);
    m_waiters.erase(ticket);
    const Instant now = m_clock.now();
    if (!waiter.result || waiter.result->kind == Result::Kind::Evicted)
        m_client.cancel(ticket, now);
    if (!waiter.result)
        waiter.result = Result { Result::Kind::Refused, 0, {}, Millis(0) };
    if (waiter.result->kind == Result::Kind::Granted)
        m_grantDelay.add(static_cast<double>((now - asked).count()) * 1000);
    schedulePump();
    co_return std::move(*waiter.result);
}

TicketId SlotExchange::useWithoutGrant(const std::string& pool, const std::string& server, Instant deadline)
{
    m_withoutBroker.add();
    const TicketId ticket = m_client.useWithoutGrant(pool, server, deadline, m_clock.now());
    wakeIfIdle();
    schedulePump();
    return ticket;
}

void SlotExchange::release(TicketId ticket, Millis took, bool refused)
{
    if (!ticket)
        return;
    m_client.release(ticket, took, refused, m_clock.now());
    schedulePump();
}

void SlotExchange::evict(std::string_view server)
{
    const std::string pool = poolOfServer(server);
    for (auto& [ticket, waiter] : m_waiters) {
        if (waiter->pool != pool || waiter->result)
            continue;
        waiter->result = Result { Result::Kind::Evicted, 0, {}, Millis(0) };
        waiter->signal.notifyAll();
    }
}

void SlotExchange::finish(const SlotOutcome& outcome)
{
    const auto found = m_waiters.find(outcome.ticket);
    if (found == m_waiters.end() || found->second->result) {
        if (outcome.kind == SlotOutcome::Kind::Granted)
            m_client.release(outcome.ticket, Millis(0), false, m_clock.now());
        return;
    }
    Result result;
    result.ticket = outcome.ticket;
    result.server = outcome.server;
    result.wait = outcome.wait;
    switch (outcome.kind) {
    case SlotOutcome::Kind::Granted:
        result.kind = Result::Kind::Granted;
        m_granted.add();
        break;
    case SlotOutcome::Kind::Refused:
        result.kind = Result::Kind::Refused;
        m_refused.add();
        break;
    case SlotOutcome::Kind::NoBroker:
        result.kind = Result::Kind::NoBroker;
        break;
    }
    found->second->result = std::move(result);
    found->second->signal.notifyAll();
}

// --- Messages

// Asks and ends of the same moment go in one datagram for each broker.
void SlotExchange::schedulePump()
{
    if (m_pumpScheduled || m_pumping || !m_socket)
        return;
    m_pumpScheduled = true;
    asio::post(m_executor, [this] {
        m_pumpScheduled = false;
        pump();
    });
}

void SlotExchange::pump()
{
    m_pumping = true;
    for (;;) {
        auto messages = m_client.takeMessages();
        for (auto& [broker, message] : messages)
            deliver(broker, std::move(message));
        sendReplies();
        const auto outcomes = m_client.takeOutcomes();
        for (const SlotOutcome& outcome : outcomes)
            finish(outcome);
        if (messages.empty() && outcomes.empty())
            break;
    }
    m_pumping = false;
}

void SlotExchange::deliver(const Broker& broker, SlotMessage message)
{
    message.dataCentre = m_options.dataCentre;
    if (broker.host != m_options.host) {
        m_socket->send(broker.address, message);
        return;
    }
    m_brokerActive = true;
    m_broker.onMessage(message, m_options.dataCentre, m_clock.now());
}

void SlotExchange::sendReplies()
{
    std::map<std::string, SlotMessage> messages; // by host
    for (auto& [host, reply] : m_broker.takeReplies())
        messages[host].replies.push_back(std::move(reply));
    for (auto& [host, message] : messages) {
        message.sender = m_options.host;
        message.incarnation = m_incarnation;
        message.dataCentre = m_options.dataCentre;
        const auto address = m_addresses.find(host);
        if (host == m_options.host)
            m_client.onReplies(host, m_incarnation, message.replies, m_clock.now());
        else if (address != m_addresses.end())
            m_socket->send(address->second, message);
    }
}

void SlotExchange::onDatagram(SlotMessage message, std::string_view from)
{
    const Instant now = m_clock.now();
    if (!message.replies.empty())
        m_client.onReplies(message.sender, message.incarnation, message.replies, now);
    if (!message.asks.empty() || !message.ends.empty() || message.held) {
        m_addresses[message.sender] = std::string(from);
        m_brokerActive = true;
        wakeIfIdle();
        m_broker.onMessage(message, message.dataCentre, now);
    }
    schedulePump();
}

void SlotExchange::wakeIfIdle()
{
    if (m_idle)
        m_active.notifyAll();
}

asio::awaitable<void> SlotExchange::tickLoop()
{
    constexpr Millis idleWait { 1'000 };
    for (;;) {
        // A host whose processor share is used up stands still for a while. Replies that arrived meanwhile must be read
        // first, or it would take its own silence for that of the brokers.
        m_socket->receivePending();
        const Instant now = m_clock.now();
        if (m_brokerActive)
            m_broker.advance(now);
        if (m_client.nextEvent() <= now)
            m_client.advance(now);
        pump();
        logSilence(now);
        m_brokerActive = !m_broker.isIdle();
        m_idle = !m_brokerActive && m_client.nextEvent() == Instant::max();
        const Millis pause = m_idle ? idleWait : tickInterval;
        co_await m_active.wait(pause);
    }
}

// --- For operators

void SlotExchange::logSilence(Instant now)
{
    const auto silent = m_client.silentBrokers(now);
    if (silent == m_silentBrokers)
        return;
    for (const auto& broker : silent) {
        if (std::find(m_silentBrokers.begin(), m_silentBrokers.end(), broker) != m_silentBrokers.end())
            continue;
        m_silences.add();
        logChange(LogLevel::Warning, "broker-silent", { { "broker", broker }, { "waiting", m_client.waiting() } });
    }
    m_silentBrokers = silent;
}

std::string SlotExchange::statusText() const
{
    json::object status;
    status["mode"] = toString(m_options.mode);
    status["brokersEdition"] = m_brokers ? m_brokers->edition : 0;
    json::array brokers;
    if (m_brokers) {
        for (const Broker& broker : m_brokers->brokers)
            brokers.emplace_back(broker.host);
    }
    status["brokers"] = std::move(brokers);
    json::array silent;
    for (const auto& broker : m_client.silentBrokers(m_clock.now()))
        silent.emplace_back(broker);
    status["silentBrokers"] = std::move(silent);
    status["waiting"] = m_client.waiting();
    status["used"] = m_client.used();
    json::array pools;
    for (const auto& pool : m_broker.status(listedPools))
        pools.push_back(json::object { { "pool", pool.pool }, { "servers", pool.servers }, { "slots", pool.slots },
            { "used", pool.used }, { "waiting", pool.waiting }, { "expectedWaitMs", pool.expectedWait.count() } });
    status["pools"] = std::move(pools);
    status["granted"] = m_broker.granted();
    status["refused"] = m_broker.refused();
    return json::serialize(status) + "\n";
}

}
