#include "decisions/SlotShares.h"

#include <algorithm>
#include <cmath>

namespace cumindale {

namespace {

    constexpr double onTime = 0.5; // of a report's interval: one that comes a little late was not left out

}

void SlotDemand::report(std::string_view host, double inFlight, double waiting, Instant now)
{
    auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        found = m_hosts.emplace(std::string(host), Host {}).first;
    Host& known = found->second;
    const double kept = (1 - m_options.smoothing) * weightOf(known, now);
    known.wanted = kept * known.wanted + m_options.smoothing * (inFlight + waiting);
    known.inFlight = kept * known.inFlight + m_options.smoothing * inFlight;
    known.heard = now;
}

double SlotDemand::weightOf(const Host& host, Instant now) const
{
    const auto intervals
        = static_cast<double>((now - host.heard).count()) / static_cast<double>(m_options.reportEvery.count());
    const double missed = std::floor(std::max(0.0, intervals - onTime));
    return std::pow(1 - m_options.smoothing, missed);
}

double SlotDemand::wanted(Instant now) const
{
    double all = 0;
    for (const auto& [name, host] : m_hosts)
        all += host.wanted * weightOf(host, now);
    return all;
}

void SlotDemand::forget(std::string_view host)
{
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end())
        m_hosts.erase(found);
}

double SlotDemand::inFlight(Instant now) const
{
    double all = 0;
    for (const auto& [name, host] : m_hosts)
        all += host.inFlight * weightOf(host, now);
    return all;
}

bool SlotDemand::pressed(unsigned slots, Instant now) const { return wanted(now) > m_options.pressedFrom * slots; }

double SlotDemand::shareOf(std::string_view host, unsigned slots, size_t hosts, Instant now) const
{
    const double all = wanted(now);
    const auto sharers = static_cast<double>(std::max<size_t>(1, hosts));
    const double least = std::min(1.0, m_options.evenPerSlot * slots / sharers);
    const double total = m_options.perSlot * slots;
    const auto mine = m_hosts.find(host);
    const double part = mine == m_hosts.end() || all <= 0 ? 0 : mine->second.wanted * weightOf(mine->second, now) / all;
    return std::max(least, total * part);
}

}
