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
    // In all, in a check whose first probes fail. Of about half of the servers three probes say nothing.
    constexpr size_t probesPerWideCheck = 24;
    constexpr Millis idleInterval { 250 }; // between two looks at requests without an answer
    // Between two probes while cut off. All hosts that are cut off together probe so often, each another server.
    constexpr Millis probeInterval { 200 };
    constexpr Millis probeJitter { 100 };
    // Servers with a request that is unanswered for several times the usual duration. A single one may be overloaded.
    constexpr size_t stuckServers = 2;

}

// One check in progress.
struct ServerReachMonitor::Check {
    std::vector<ProbeOutcome> outcomes;
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
    , m_unreached(metrics.counter("servers_reached_by_others_only"))
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
        if (m_paths.reachedThroughOthers(server.entry.id)) {
            server.forgetFailures();
            logChange(LogLevel::Info, "server-reached-again", { { "server", server.entry.id } });
        }
        m_paths.connected(server.entry.id);
        m_reach.connected(server.entry.id, cutOff() ? probeableServers() : 0);
    } else {
        m_connectsFailed.add();
        if (!wasCutOff)
            m_paths.connectFailed(server.entry.id);
        m_reach.connectFailed(server.entry.id, m_clock.now());
    }
    onEvidence(wasCutOff);
}

void ServerReachMonitor::recordAnswer(const Upstream& server)
{
    m_paths.answered(server.entry.id);
    m_reach.answered(server.entry.id, m_clock.now());
}

bool ServerReachMonitor::startTrial(const Upstream& server)
{
    return !cutOff() && m_paths.startTrial(server.entry.id, m_clock.now());
}

void ServerReachMonitor::recordAnswerElsewhere(std::string_view server)
{
    const bool known = m_paths.reachedThroughOthers(server);
    m_paths.answeredElsewhere(server);
    if (!known && m_paths.reachedThroughOthers(server)) {
        m_unreached.add();
        logChange(LogLevel::Warning, "server-reached-by-others-only", { { "server", server } });
    }
}

void ServerReachMonitor::recordUnreachableElsewhere(const Upstream& server)
{
    m_paths.unreachableElsewhere(server.entry.id, m_clock.now());
}

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
    m_paths.clear();
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
    if (m_paths.reachedThroughOthers(server.entry.id))
        return m_paths.answersOverOpenConnections(server.entry.id) && server.pool.hasConnection(m_clock.now());
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

bool ServerReachMonitor::reachedThroughOthers(const Upstream& server) const
{
    return m_paths.reachedThroughOthers(server.entry.id);
}

asio::awaitable<bool> ServerReachMonitor::confirmCutOff()
{
    if (!m_reach.suspicious(m_clock.now()))
        co_return cutOff();
    co_return co_await checkCutOff();
}

asio::awaitable<bool> ServerReachMonitor::checkCutOff()
{
    if (m_checking) {
        // m_checked is notified by each probe as well.
        const Instant until = m_clock.now() + 2 * m_connectTimeout;
        for (Instant now = m_clock.now(); m_checking && now < until; now = m_clock.now())
            co_await m_checked.wait(until - now);
    } else if (m_reach.mayCheck(m_clock.now())) {
        co_await check();
    }
    co_return cutOff();
}

// --- Checks and probes

// Servers that have crashed say nothing about the path, so those that accepted the last connection are probed if there
// are any. A request that crashes one server after the other would make this host believe that it is cut off.
//
// While cut off, those that are known to accept connections say nothing new.
std::vector<ServerReachMonitor::UpstreamPointer> ServerReachMonitor::probeTargets(
    size_t count, std::span<const ProbeOutcome> known) const
{
    std::vector<UpstreamPointer> usable;
    for (const auto& [id, server] : m_servers.inUse()) {
        const std::string& name = id;
        const bool isKnown = std::any_of(
            known.begin(), known.end(), [&](const ProbeOutcome& outcome) { return outcome.server == name; });
        if (!server->outOfUse() && !isKnown)
            usable.push_back(server);
    }
    std::vector<UpstreamPointer> preferred;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(preferred), [&](const UpstreamPointer& server) {
        return cutOff() ? m_reach.pathTo(server->entry.id) != ServerReach::Path::Connects : server->acceptsConnections;
    });
    if (preferred.empty() && !known.empty())
        return {};
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

asio::awaitable<void> ServerReachMonitor::probe(UpstreamPointer server, std::shared_ptr<Check> check)
{
    const bool connected = co_await server->pool.tryConnect(m_connectTimeout);
    recordConnect(*server, connected);
    check->failures += !connected;
    check->outcomes.push_back({ server->entry.id, connected });
    m_checked.notifyAll();
}

asio::awaitable<void> ServerReachMonitor::probeAll(std::vector<UpstreamPointer> targets, std::shared_ptr<Check> check)
{
    const size_t expected = check->outcomes.size() + targets.size();
    for (const auto& target : targets)
        asio::co_spawn(m_executor, probe(target, check), asio::detached);
    while (check->outcomes.size() < expected)
        co_await m_checked.wait(m_connectTimeout);
}

asio::awaitable<void> ServerReachMonitor::check()
{
    m_checking = true;
    const auto progress = std::make_shared<Check>();
    co_await probeAll(probeTargets(probesPerCheck), progress);
    // Without an answer from any server there is no doubt.
    const bool silent = m_clock.now() - m_reach.lastAnswer() >= idleInterval;
    if (progress->failures * 2 > progress->outcomes.size() && !silent)
        co_await probeAll(probeTargets(probesPerWideCheck - probesPerCheck, progress->outcomes), progress);
    const bool wasCutOff = cutOff();
    m_reach.checked(progress->outcomes, m_clock.now());
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

// Servers that are gone say nothing about the path.
void ServerReachMonitor::forgetUnused()
{
    const auto isUsed = [this](std::string_view id) {
        const auto server = m_servers.inUse().find(id);
        return server != m_servers.inUse().end() && !server->second->outOfUse();
    };
    m_reach.retain(isUsed);
    m_paths.retain(isUsed);
}

// While probes succeed, the next follows at once.
asio::awaitable<void> ServerReachMonitor::probeNext()
{
    for (size_t probes = 0; cutOff() && probes < probesPerCheck; ++probes) {
        const auto targets = probeTargets(1);
        if (targets.empty())
            co_return;
        const bool connected = co_await targets.front()->pool.tryConnect(m_connectTimeout);
        recordConnect(*targets.front(), connected);
        if (!connected)
            co_return;
    }
}

// The failures are known, so they are no reason for suspicion.
asio::awaitable<void> ServerReachMonitor::probeUnreached()
{
    const auto unreached = m_paths.allReachedThroughOthers();
    const size_t start = unreached.empty() ? 0 : randomNumber() % unreached.size();
    for (size_t i = 0; i < unreached.size() && !cutOff(); ++i) {
        const auto server = m_servers.inUse().find(unreached[(start + i) % unreached.size()]);
        if (server == m_servers.inUse().end())
            continue;
        const UpstreamPointer held = server->second;
        if (!co_await held->pool.tryConnect(m_connectTimeout))
            co_return;
        recordConnect(*held, true);
    }
}

asio::awaitable<void> ServerReachMonitor::run()
{
    for (;;) {
        forgetUnused();
        if (cutOff()) {
            co_await m_changed.wait(probeInterval + randomUpTo(probeJitter));
            co_await probeNext();
        } else {
            co_await m_changed.wait(idleInterval);
            const Instant now = m_clock.now();
            if (!cutOff() && !m_checking && m_reach.mayCheck(now) && requestsAreStuck(now))
                co_await check();
            co_await probeUnreached();
        }
    }
}

}
