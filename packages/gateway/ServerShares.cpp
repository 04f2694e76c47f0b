#include "gateway/ServerShares.h"

#include "base/Log.h"
#include "decisions/ServerLimit.h"

#include <algorithm>
#include <cmath>

namespace cumindale {

namespace {

    constexpr double centi = 100;
    // Few keys are hot at a time. When much of a deployment is overloaded at once, permits for all its servers cost the
    // hosts and the coordinator more than they save.
    constexpr size_t maxCrowdedServers = 6;

    unsigned nonNegative(int32_t count) { return static_cast<unsigned>(std::max(0, count)); }

    Demand demandIn(const wire::ServerUse& use)
    {
        Demand demand;
        demand.inFlight = use.inFlightCenti / centi;
        demand.waiting = use.waitingCenti / centi;
        demand.present = nonNegative(use.present);
        demand.waitingNow = nonNegative(use.waitingNow);
        demand.overdue = nonNegative(use.overdue);
        demand.answered = use.workMicros > 0;
        return demand;
    }

}

ServerShares::ServerShares(ShareOptions options, double defaultWorkMillis)
    : m_options(options)
    , m_defaultWorkMillis(defaultWorkMillis)
{
}

ServerShares::State& ServerShares::stateOf(const std::string& server)
{
    State& state = m_servers.try_emplace(server, m_options).first->second;
    state.demand.setReportInterval(m_reportInterval);
    return state;
}

double ServerShares::workOrDefault(const State& state) const
{
    return state.workMillis > 0 ? state.workMillis : m_defaultWorkMillis;
}

// --- From reports

void ServerShares::report(const std::string& host, const wire::ServerUse& use, unsigned slots, Instant now)
{
    State& state = stateOf(use.server);
    state.demand.report(host, demandIn(use), now);
    if (use.workMicros <= 0)
        return;
    // Requests at the server beyond its slots wait in its queue, so by Little's law that part of their time is not
    // work. Counted as work, it makes servers under load look slow, and their keys are moved away needlessly.
    constexpr double smoothing = 0.1;
    const double working = std::min(1.0, slots / std::max(1.0, state.demand.inFlight(now)));
    const double work = working * use.workMicros / 1000.0;
    state.workMillis += (state.workMillis > 0 ? smoothing : 1) * (work - state.workMillis);
}

void ServerShares::forget(std::string_view host)
{
    for (auto& [server, state] : m_servers)
        state.demand.forget(host);
}

void ServerShares::clear()
{
    m_servers.clear();
    m_crowded.clear();
    m_rates.clear();
}

void ServerShares::setHosts(size_t hosts, Millis interval)
{
    m_hosts = hosts;
    m_reportInterval = interval;
}

// --- Answers

std::optional<wire::ServerShare> ServerShares::shareFor(
    const std::string& host, const std::string& server, unsigned slots, bool keyed, Instant now)
{
    State& state = stateOf(server);
    wire::ServerShare share;
    share.server = server;
    if (m_rates.isLimited(server)) {
        const unsigned waiting = state.demand.waitingHosts(now);
        unsigned ahead = !keyed && !waiting;
        if (m_rates.hasSpare(server, now))
            ahead = std::max(ahead, state.demand.expectedRequests(host, workOrDefault(state), now));
        const unsigned wanted = state.demand.permitsWanted(host, slots, ahead, now);
        const unsigned permits = m_rates.takePermits(server, wanted, now);
        state.demand.givePermits(host, permits);
        const Millis pause = std::max(
            state.demand.permitInterval(slots, workOrDefault(state), now), m_rates.permitInterval(server, waiting));
        share.crowded = true;
        share.permits = static_cast<int32_t>(permits);
        share.pauseMillis = static_cast<int32_t>(pause.count());
        return share;
    }
    if (crowded(server, state, slots, now)) {
        share.crowded = true;
        share.permits = static_cast<int32_t>(state.demand.takePermits(host, slots, now));
        share.pauseMillis = static_cast<int32_t>(state.demand.permitInterval(slots, workOrDefault(state), now).count());
        return share;
    }
    if (!state.demand.underPressure(slots, now))
        return std::nullopt;
    share.slotsCenti = static_cast<int32_t>(std::lround(centi * state.demand.shareOf(host, slots, m_hosts, now)));
    return share;
}

double ServerShares::workMillis(const std::string& server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? 0 : found->second.workMillis;
}

// --- Crowded servers

// If the server takes one request from each host, shares alone keep its queue from overflowing.
bool ServerShares::mayBeCrowded(const std::string& server, unsigned slots, Instant now)
{
    // No report names a crowded server that is gone or whose keys have moved, so its entry expires. Otherwise no server
    // could become crowded after six such servers until another coordinator is elected. Hosts use the same timeout.
    std::erase_if(
        m_crowded, [&](const auto& entry) { return now - entry.second > ServerLimitOptions {}.crowdedTimeout; });
    return hostsExceedQueue(m_hosts, slots) && (m_crowded.count(server) || m_crowded.size() < maxCrowdedServers);
}

bool ServerShares::crowded(const std::string& server, State& state, unsigned slots, Instant now)
{
    if (mayBeCrowded(server, slots, now) && state.demand.crowded(slots, now)) {
        m_crowded[server] = now;
        return true;
    }
    m_crowded.erase(server);
    return false;
}

bool ServerShares::expectCrowd(const std::string& server, unsigned slots, double busyMillis, Instant now)
{
    State& state = stateOf(server);
    const double asked = busyMillis / 1000 * workOrDefault(state) / m_defaultWorkMillis; // requests at once
    if (asked < m_options.crowdedInFlightPerSlot * slots || !mayBeCrowded(server, slots, now))
        return false;
    state.demand.expectCrowd(now);
    m_crowded[server] = now;
    return true;
}

// Hosts without requests at the server are told as well: each of them may send the next request.
std::vector<std::string> ServerShares::crowdsToAnnounce(std::span<const std::string> crowded, Instant now)
{
    constexpr Millis repeatInterval { 800 }; // hosts treat the server as crowded for 2 s, and a message may be lost
    constexpr Millis newCrowdAfter { 3'000 }; // after so long without a message it is a new crowd, which is logged
    std::vector<std::string> servers;
    for (const auto& server : crowded) {
        State& state = stateOf(server);
        const Millis since = now - state.crowdAnnouncedAt;
        if (since < repeatInterval)
            continue;
        if (since > newCrowdAfter)
            logChange(LogLevel::Info, "server-crowded", { { "server", server }, { "workMs", state.workMillis } });
        state.crowdAnnouncedAt = now;
        servers.push_back(server);
    }
    return servers;
}

}
