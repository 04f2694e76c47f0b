// The part of the Coordinator that sends grants and releases to the servers.
#include "gateway/Coordinator.h"

#include "base/Log.h"
#include "decisions/ServerIdentity.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace cumindale {

namespace asio = boost::asio;

void Coordinator::updateServerAddresses()
{
    if (std::exchange(m_knownServersEdition, m_view.serversEdition()) == m_view.serversEdition())
        return;
    for (const auto& [id, server] : *m_view.servers()) {
        ServerState& state = m_servers[id];
        state.address = server.address;
        state.port = server.port;
    }
}

void Coordinator::useAddressOfLaterIncarnation(const std::string& server)
{
    const auto servers = m_view.servers();
    const RegisteredServer* later = registeredIncarnation(*servers, serverNameOf(server));
    if (!later)
        return;
    ServerState& state = m_servers[server];
    state.address = later->address;
    state.port = later->port;
}

std::shared_ptr<HttpClient> Coordinator::clientFor(const std::string& server)
{
    const auto known = m_servers.find(server);
    // Releases for an earlier incarnation of a registered server are sent to the registered incarnation. It doesn't
    // hold the range and answers so at once. Waiting until the lease of the earlier incarnation has expired would leave
    // its keys without an owner for three seconds.
    if (known == m_servers.end() || !known->second.port)
        useAddressOfLaterIncarnation(server);
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || !found->second.port)
        return nullptr;
    ServerState& state = found->second;
    constexpr size_t maxIdleConnections = 1; // for grants; each release has a connection of its own
    if (!state.client)
        state.client = std::make_shared<HttpClient>(
            m_executor, state.address, state.port, maxIdleConnections, shortResponseLimits);
    return state.client;
}

void Coordinator::send(GrantOrder order, const std::string& service)
{
    // The server answers a release after its requests in progress have ended. Grants for the server must not wait for
    // that.
    if (order.kind == GrantOrder::Kind::Release) {
        asio::co_spawn(m_executor, executeOrder(std::move(order), m_term, service), asio::detached);
        return;
    }
    // Grants for one server are sent one after the other over one connection. Sent concurrently, they would open a
    // connection for each range, most of which would be closed again.
    const std::string server = order.server;
    ServerState& state = m_servers[server];
    state.grants.emplace_back(std::move(order), service);
    if (!state.senders)
        startSender(server, state);
}

void Coordinator::startSender(const std::string& server, ServerState& state)
{
    ++state.senders;
    state.lastSentAt = Instant::max(); // it has not sent anything yet, and isn't stalled
    m_sendersToStart.push_back(server);
    if (!std::exchange(m_isStartingSenders, true))
        asio::co_spawn(m_executor, startSenders(), asio::detached);
}

// A new coordinator has orders for all servers at once. Connections that are all begun in one turn of the loop exceed
// their time limits before the first answer is read, and the leadership lapses meanwhile.
asio::awaitable<void> Coordinator::startSenders()
{
    constexpr size_t sendersPerTurn = 64; // of a loop that has a tenth of a core, within a third of the time to connect
    while (!m_sendersToStart.empty()) {
        for (size_t i = 0; i < sendersPerTurn && !m_sendersToStart.empty(); ++i) {
            asio::co_spawn(m_executor, sendGrants(std::move(m_sendersToStart.front()), m_term), asio::detached);
            m_sendersToStart.pop_front();
        }
        co_await asio::post(m_executor, asio::use_awaitable);
    }
    m_isStartingSenders = false;
}

// An order whose answer is lost blocks its connection until the order times out. The orders queued behind it must not
// wait that long: if half of the answers are lost, the leases of a server's ranges would expire one after the other.
void Coordinator::addSendersToStalledServers()
{
    constexpr Millis stallTimeout { 100 }; // most orders are answered within a few ms
    constexpr unsigned maxSenders = 6; // limits the connections to a server that doesn't answer at all
    const Instant now = m_clock.now();
    for (auto& [server, state] : m_servers) {
        const bool stalled = state.senders && !state.grants.empty() && now - state.lastSentAt > stallTimeout;
        if (stalled && state.senders < maxSenders)
            startSender(server, state);
    }
}

asio::awaitable<void> Coordinator::sendGrants(std::string server, int64_t term)
{
    while (term == m_term) {
        ServerState& state = m_servers[server];
        if (state.grants.empty()) {
            --state.senders;
            co_return;
        }
        auto next = std::move(state.grants.front());
        state.grants.pop_front();
        state.lastSentAt = m_clock.now();
        co_await executeOrder(std::move(next.first), term, std::move(next.second));
    }
}

// An order may have waited for earlier ones and for its connection since step() planned it, also while the process
// stood still.
bool Coordinator::maySend(int64_t term)
{
    if (term != m_term || !isLeader())
        return false;
    // The reports of a large fleet are not counted for each order.
    const Instant now = m_clock.now();
    const bool checkedRecently = now - m_basisCheckedAt <= m_options.stepInterval;
    return checkedRecently ? m_actingBasis != ActingBasis::None : mayAct(now);
}

std::optional<uint64_t> Coordinator::fenceToSend(
    const GrantOrder& order, const std::string& service, bool newConnection)
{
    const auto plan = m_plans.find(service);
    return plan == m_plans.end() ? std::nullopt : plan->second->fenceToSend(order, newConnection);
}

void Coordinator::recordReach(const std::string& server, const OrderAnswer& answer)
{
    switch (answer.result) {
    case OrderResult::Withheld:
        return;
    case OrderResult::Unanswered:
    case OrderResult::NotSent:
        return m_orderReach.connectFailed(server, answer.endedAt);
    default:
        return m_orderReach.connected(server, m_servers.size());
    }
}

asio::awaitable<void> Coordinator::executeOrder(GrantOrder order, int64_t term, std::string service)
{
    m_orders.add();
    OrderAnswer answer { order.range, order.number };
    // Keeps the client alive: the end of the term clears m_servers while this order may still wait for its answer.
    const auto client = clientFor(order.server);
    if (client) {
        const bool release = order.kind == GrantOrder::Kind::Release;
        const Millis timeout = release ? m_options.releaseTimeout : m_options.grants.orderTimeout;
        bool withheld = false;
        HttpClient::CallFactory make = [&](bool newConnection) -> std::optional<HttpCall> {
            withheld = !maySend(term);
            const auto fence = withheld ? std::nullopt : fenceToSend(order, service, newConnection);
            if (!fence)
                return std::nullopt;
            order.fence = *fence;
            return m_adapter.callFor(order);
        };
        HttpReply reply;
        // A late copy of another order's response, taken for that of a release, would give the keys away while their
        // holder is at work.
        if (release)
            reply = co_await client->sendAlone(std::move(make), timeout);
        else
            reply = co_await client->send(std::move(make), timeout);
        if (reply.hasResponse()) {
            answer.result = m_adapter.resultOf(order, reply);
            answer.handover = m_adapter.handoverIn(reply);
        } else if (withheld) {
            answer.result = OrderResult::Withheld;
        } else {
            answer.result = reply.mayHaveArrived ? OrderResult::Unanswered : OrderResult::NotSent;
        }
    }
    if (term != m_term)
        co_return; // the term has ended meanwhile
    answer.endedAt = m_clock.now();
    recordReach(order.server, answer);
    if (answer.result != OrderResult::Done && answer.result != OrderResult::Withheld) {
        m_ordersFailed.add();
        logChange(LogLevel::Warning, "grant-order-failed",
            { { "service", service }, { "server", order.server }, { "first", order.first }, { "last", order.last },
                { "fence", order.fence }, { "kind", order.kind == GrantOrder::Kind::Grant ? "grant" : "release" },
                { "result", nameOf(answer.result) } });
    }
    const auto plan = m_plans.find(service);
    if (plan == m_plans.end())
        co_return;
    const uint64_t before = plan->second->edition();
    plan->second->onAnswer(answer);
    m_needsMaintenance |= answer.result != OrderResult::Done;
    // The results of a renewal can wait for the next step. A step checks all ranges: run after each renewal, steps
    // would cost a coordinator of hundreds of hosts more than all its other work.
    const bool urgent = order.kind == GrantOrder::Kind::Release || plan->second->edition() != before;
    m_needsMaintenance |= urgent;
    if (urgent || plan->second->deposed())
        m_wakeUp.notifyAll();
}

}
