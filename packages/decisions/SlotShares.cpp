#include "decisions/SlotShares.h"

#include <algorithm>

namespace cumindale {

void SlotDemand::report(std::string_view host, double inFlight, double waiting)
{
    auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        found = m_hosts.emplace(std::string(host), Host {}).first;
    Host& known = found->second;
    known.wanted += m_options.smoothing * (inFlight + waiting - known.wanted);
    known.inFlight += m_options.smoothing * (inFlight - known.inFlight);
}

void SlotDemand::forget(std::string_view host)
{
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end())
        m_hosts.erase(found);
}

double SlotDemand::inFlight() const
{
    double all = 0;
    for (const auto& [name, host] : m_hosts)
        all += host.inFlight;
    return all;
}

bool SlotDemand::pressed(unsigned slots) const
{
    double all = 0;
    for (const auto& [name, other] : m_hosts)
        all += other.wanted;
    return all > m_options.pressedFrom * slots;
}

double SlotDemand::shareOf(std::string_view host, unsigned slots, size_t hosts) const
{
    double all = 0;
    for (const auto& [name, other] : m_hosts)
        all += other.wanted;
    const auto sharers = static_cast<double>(std::max<size_t>(1, hosts));
    const double least = std::min(1.0, m_options.evenPerSlot * slots / sharers);
    const double total = m_options.perSlot * slots;
    const auto mine = m_hosts.find(host);
    const double wanted = mine == m_hosts.end() || all <= 0 ? 0 : total * mine->second.wanted / all;
    return std::max(least, wanted);
}

}
