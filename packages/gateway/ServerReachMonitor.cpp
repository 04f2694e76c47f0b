#include "gateway/ServerReachMonitor.h"

#include "base/Log.h"
#include "base/Random.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iterator>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr size_t probesPerCheck = ServerReachOptions {}.probesPerCheck;
    constexpr Millis idleInterval { 250 }; // between two looks at requests without an answer
    // Between two probes while cut off. All hosts that are cut off together probe so often, each another server.
    constexpr Millis probeInterval { 200 };
    constexpr Millis probeJitter { 100 };
    // Servers with a request that is unanswered for several times the usual duration. A single one may be overloaded.
    constexpr size_t stuckServers = 2;

}

// One check in progress.
struct ServerReachMonitor::Check {
    size_t ended = 0;
    size_t failures = 0;
};

ServerReachMonitor::ServerReachMonitor(asio::any_io_executor executor, const Clock& clock,
    const UpstreamRegistry& servers, Metrics& metrics, Millis connectTimeout, ChangeHandler onChange)
    : m_executor(executor)
    , m_clock(clock)
    , m_servers(servers)
    , m_connectTimeout(connectTimeout)
    , m_onChange(std::move(onChange))
    , m_connectsFailed(metrics.counter("server_connects_failed"))
    , m_cutOffs(metrics.counter("host_cut_offs"))
    , m_isCutOff(metrics.counter("host_is_cut_off"))
    , m_checked(executor)
    , m_changed(executor)
{
}

void ServerReachMonitor::start() { spawnLoop(m_executor, "server-reach", run()); }

// --- Events

void ServerReachMonitor::recordConnect(Upstream& server, bool connected)
{
    server.acceptsConnections = connected;
    const bool wasCutOff = cutOff();
    if (connected) {
        m_reach.connected(server.entry.id, cutOff() ? probeableServers() : 0);
    } else {
        m_connectsFailed.add();
        m_reach.connectFailed(server.entry.id, m_clock.now());
    }
    onEvidence(wasCutOff);
}

void ServerReachMonitor::recordAnswer(const Upstream& server) { m_reach.answered(server.entry.id, m_clock.now()); }

void ServerReachMonitor::checkIfUnknown()
{
    constexpr Millis recent { 300 };
    const Instant now = m_clock.now();
    if (now - m_reach.lastAnswer() > recent && m_reach.mayCheck(now) && !m_checking)
        asio::co_spawn(m_executor, check(), asio::detached);
}

void ServerReachMonitor::onEvidence(bool wasCutOff)
{
    if (cutOff() == wasCutOff)
        return;
    m_isCutOff.set(cutOff());
    m_cutOffs.add(cutOff());
    const Millis sinceAnswer = m_clock.now() - m_reach.lastAnswer();
    logChange(cutOff() ? LogLevel::Warning : LogLevel::Info, cutOff() ? "host-cut-off" : "host-reconnected",
        { { "serversInUse", m_servers.inUse().size() }, { "lastAnswerMs", sinceAnswer.count() } });
    m_onChange(cutOff());
    m_changed.notifyAll();
}

// --- State

bool ServerReachMonitor::sendsDirectly(const Upstream& server, bool mayTry) const
{
    switch (m_reach.pathTo(server.entry.id)) {
    case ServerReach::Path::Connects:
        return true;
    case ServerReach::Path::AnswersOnly:
        return server.pool.hasConnection(m_clock.now());
    case ServerReach::Path::Fails:
        return false;
    case ServerReach::Path::Unknown:
        return mayTry;
    }
    return mayTry;
}

asio::awaitable<bool> ServerReachMonitor::confirmCutOff()
{
    if (!m_reach.suspicious(m_clock.now()))
        co_return cutOff();
    co_return co_await checkCutOff();
}

asio::awaitable<bool> ServerReachMonitor::checkCutOff()
{
    if (m_checking)
        co_await m_checked.wait(2 * m_connectTimeout);
    else if (m_reach.mayCheck(m_clock.now()))
        co_await check();
    co_return cutOff();
}

// --- Checks and probes

// Servers that have crashed say nothing about the path, so those that accepted the last connection are probed if there
// are any. A request that crashes one server after the other would make this host believe that it is cut off.
std::vector<ServerReachMonitor::UpstreamPointer> ServerReachMonitor::probeTargets(size_t count) const
{
    std::vector<UpstreamPointer> usable;
    for (const auto& [id, server] : m_servers.inUse()) {
        if (!server->outOfUse())
            usable.push_back(server);
    }
    std::vector<UpstreamPointer> preferred;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(preferred),
        [&](const UpstreamPointer& server) { return cutOff() || server->acceptsConnections; });
    const auto& servers = preferred.empty() ? usable : preferred;
    std::vector<ProbeCandidate> candidates;
    candidates.reserve(servers.size());
    for (const auto& server : servers)
        candidates.push_back({ server->entry.id, server->entry.dataCentre });
    std::vector<UpstreamPointer> targets;
    for (const size_t index : chooseProbes(candidates, count, randomNumber()))
        targets.push_back(servers[index]);
    return targets;
}

size_t ServerReachMonitor::probeableServers() const
{
    const auto& servers = m_servers.inUse();
    return static_cast<size_t>(
        std::count_if(servers.begin(), servers.end(), [](const auto& server) { return !server.second->outOfUse(); }));
}

// The connection is kept for the next request.
asio::awaitable<bool> ServerReachMonitor::tryConnect(UpstreamPointer server)
{
    auto connection = co_await server->pool.connect(m_connectTimeout);
    const bool connected = connection != nullptr;
    if (connected)
        server->pool.returnConnection(std::move(connection));
    co_return connected;
}

asio::awaitable<void> ServerReachMonitor::probe(UpstreamPointer server, std::shared_ptr<Check> check)
{
    const bool connected = co_await tryConnect(server);
    recordConnect(*server, connected);
    check->failures += !connected;
    ++check->ended;
    m_checked.notifyAll();
}

asio::awaitable<void> ServerReachMonitor::check()
{
    m_checking = true;
    const auto targets = probeTargets(probesPerCheck);
    const auto progress = std::make_shared<Check>();
    for (const auto& target : targets)
        asio::co_spawn(m_executor, probe(target, progress), asio::detached);
    while (progress->ended < targets.size())
        co_await m_checked.wait(m_connectTimeout);
    const bool wasCutOff = cutOff();
    m_reach.checked(targets.size(), progress->failures, m_clock.now());
    m_checking = false;
    onEvidence(wasCutOff);
    m_checked.notifyAll();
}

// Connections that hang show only by requests without an answer, since those that are open take no new connection.
bool ServerReachMonitor::requestsAreStuck(Instant now) const
{
    if (now - m_reach.lastAnswer() < idleInterval)
        return false;
    size_t stuck = 0;
    for (const auto& [id, server] : m_servers.inUse())
        stuck += !server->overdueTimes.empty() && *server->overdueTimes.begin() <= now;
    return stuck >= stuckServers;
}

// While probes succeed, the next follows at once.
asio::awaitable<void> ServerReachMonitor::probeNext()
{
    for (size_t probes = 0; cutOff() && probes < probesPerCheck; ++probes) {
        const auto targets = probeTargets(1);
        if (targets.empty())
            co_return;
        const bool connected = co_await tryConnect(targets.front());
        recordConnect(*targets.front(), connected);
        if (!connected)
            co_return;
    }
}

asio::awaitable<void> ServerReachMonitor::run()
{
    for (;;) {
        if (cutOff()) {
            co_await m_changed.wait(probeInterval + randomUpTo(probeJitter));
            co_await probeNext();
        } else {
            co_await m_changed.wait(idleInterval);
            const Instant now = m_clock.now();
            if (!cutOff() && !m_checking && m_reach.mayCheck(now) && requestsAreStuck(now))
                co_await check();
        }
    }
}

}
