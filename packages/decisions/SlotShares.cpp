#include "decisions/SlotShares.h"

#include <algorithm>
#include <cmath>

namespace cumindale {

namespace {

    // In report intervals. A report that is a little late doesn't count as missed.
    constexpr double lateReportTolerance = 0.5;
    constexpr double minWeight = 0.01; // a host whose last report weighs less is removed
    constexpr int currentForReports = 2; // report intervals for which a host's present and waiting requests count
    constexpr int answeringReports = 4; // a server without an answer for this many report intervals may hang

}

void SlotDemand::report(std::string_view host, const Demand& demand, Instant now)
{
    auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        found = m_hosts.emplace(std::string(host), Host {}).first;
    Host& known = found->second;
    const double kept = (1 - m_options.smoothing) * weightOf(known, now);
    known.wanted = kept * known.wanted + m_options.smoothing * (demand.inFlight + demand.waiting);
    known.inFlight = kept * known.inFlight + m_options.smoothing * demand.inFlight;
    known.present = demand.present;
    known.overdue = std::min(demand.overdue, demand.present);
    known.waitingNow = demand.waitingNow;
    known.permits = 0;
    known.lastReportAt = now;
    if (demand.answered)
        m_lastAnswerAt = now;
    m_totalsAt = Instant::min();
}

double SlotDemand::weightOf(const Host& host, Instant now) const
{
    const auto intervals
        = static_cast<double>((now - host.lastReportAt).count()) / static_cast<double>(m_reportInterval.count());
    const double missed = std::floor(std::max(0.0, intervals - lateReportTolerance));
    return missed > 0 ? std::pow(1 - m_options.smoothing, missed) : 1;
}

// All totals are computed in one pass: the coordinator asks for them with each report of each host that has requests at
// the server.
const SlotDemand::Totals& SlotDemand::totals(Instant now)
{
    if (m_totalsAt == now)
        return m_totals;
    m_totalsAt = now;
    m_totals = {};
    std::erase_if(m_hosts, [&](const auto& entry) { return weightOf(entry.second, now) < minWeight; });
    const bool answers = now - m_lastAnswerAt <= m_reportInterval * answeringReports;
    for (const auto& [name, host] : m_hosts) {
        const double weight = weightOf(host, now);
        m_totals.wanted += host.wanted * weight;
        m_totals.inFlight += host.inFlight * weight;
        if (now - host.lastReportAt > m_reportInterval * currentForReports)
            continue;
        m_totals.present += host.present + host.permits - (answers ? host.overdue : 0);
        m_totals.waitingNow += host.waitingNow;
        m_totals.waitingHosts += host.waitingNow > 0;
    }
    return m_totals;
}

void SlotDemand::forget(std::string_view host)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return;
    m_hosts.erase(found);
    m_totalsAt = Instant::min();
}

double SlotDemand::inFlight(Instant now) { return totals(now).inFlight; }

bool SlotDemand::underPressure(unsigned slots, Instant now)
{
    return totals(now).wanted > m_options.pressureThreshold * slots;
}

double SlotDemand::shareOf(std::string_view host, unsigned slots, size_t hosts, Instant now)
{
    const double all = totals(now).wanted;
    const double total = m_options.targetPerSlot * slots;
    const auto mine = m_hosts.find(host);
    const double part = mine == m_hosts.end() || all <= 0 ? 0 : mine->second.wanted * weightOf(mine->second, now) / all;
    const auto sharers = static_cast<double>(std::max<size_t>(1, hosts));
    const double least = std::min(1.0, m_options.evenSharePerSlot * slots / sharers);
    return std::max(least, total * part);
}

// Uses current values, because means rise only after the queue has overflowed.
bool SlotDemand::crowded(unsigned slots, Instant now)
{
    const Totals& all = totals(now);
    const unsigned wanted = all.present + all.waitingNow;
    if (all.present > m_options.crowdedInFlightPerSlot * slots || wanted > m_options.crowdedDemandPerSlot * slots)
        m_crowded = true;
    else if (wanted < m_options.uncrowdedPerSlot * slots && now >= m_expectedUntil)
        m_crowded = false;
    return m_crowded;
}

void SlotDemand::expectCrowd(Instant now)
{
    m_crowded = true;
    m_expectedUntil = now + m_options.expectedCrowdDuration;
}

unsigned SlotDemand::takePermits(std::string_view host, unsigned slots, Instant now)
{
    const unsigned permits = permitsWanted(host, slots, 0, now);
    givePermits(host, permits);
    return permits;
}

unsigned SlotDemand::expectedRequests(std::string_view host, double workMillis, Instant now) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return 0;
    const double concurrent = found->second.inFlight * weightOf(found->second, now);
    return static_cast<unsigned>(
        std::ceil(concurrent * static_cast<double>(m_reportInterval.count()) / std::max(1.0, workMillis)));
}

unsigned SlotDemand::permitsWanted(std::string_view host, unsigned slots, unsigned ahead, Instant now)
{
    const auto found = m_hosts.find(host);
    const unsigned waiting = found == m_hosts.end() ? 0 : found->second.waitingNow;
    const auto total = static_cast<unsigned>(std::lround(m_options.targetPerSlot * slots));
    const unsigned present = totals(now).present;
    const unsigned room = total > present ? total - present : 0;
    return std::min(room, waiting + ahead);
}

void SlotDemand::givePermits(std::string_view host, unsigned permits)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return;
    found->second.permits = permits;
    m_totalsAt = Instant::min();
}

Millis SlotDemand::permitInterval(unsigned slots, double workMillis, Instant now)
{
    const double hosts = std::max(1U, totals(now).waitingHosts);
    return Millis(std::llround(hosts * workMillis / std::max(1U, slots)));
}

}
