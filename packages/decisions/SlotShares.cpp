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

double SlotDemand::shareOf(std::string_view host, unsigned slots, size_t hosts) const
{
    double all = 0;
    for (const auto& [name, wanted] : m_wanted)
        all += wanted;
    const auto mine = m_wanted.find(host);
    const double pressure = std::clamp(all / std::max(1U, slots), 0.5, 1.0) * 2 - 1; // 0: half busy, 1: full
    const double perSlot = m_options.perSlotWithRoom + pressure * (m_options.perSlot - m_options.perSlotWithRoom);
    const double total = perSlot * slots;
    const double even = total / static_cast<double>(std::max<size_t>(1, hosts));
    if (mine == m_wanted.end() || all <= 0)
        return even;
    // A little is dealt evenly, so that a host that had nothing there can begin.
    constexpr double dealtEvenly = 0.25;
    return dealtEvenly * even + (1 - dealtEvenly) * total * mine->second / all;
}

}
