#include "decisions/SlotShares.h"

#include <algorithm>

namespace cumindale {

void SlotDemand::report(std::string_view host, double inFlight, double waiting)
{
    auto found = m_wanted.find(host);
    if (found == m_wanted.end())
        found = m_wanted.emplace(std::string(host), 0).first;
    found->second += m_options.smoothing * (inFlight + waiting - found->second);
}

void SlotDemand::forget(std::string_view host)
{
    const auto found = m_wanted.find(host);
    if (found != m_wanted.end())
        m_wanted.erase(found);
}

bool SlotDemand::pressed(unsigned slots) const
{
    double all = 0;
    for (const auto& [name, wanted] : m_wanted)
        all += wanted;
    return all > m_options.pressedFrom * slots;
}

double SlotDemand::shareOf(std::string_view host, unsigned slots, size_t hosts) const
{
    double all = 0;
    for (const auto& [name, wanted] : m_wanted)
        all += wanted;
    const auto sharers = static_cast<double>(std::max<size_t>(1, hosts));
    const double least = std::min(1.0, m_options.evenPerSlot * slots / sharers);
    const double total = m_options.perSlot * slots;
    const auto mine = m_wanted.find(host);
    const double wanted = mine == m_wanted.end() || all <= 0 ? 0 : total * mine->second / all;
    return std::max(least, wanted);
}

}
