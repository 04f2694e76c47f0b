#include "decisions/OfficeRules.h"

#include <algorithm>

namespace cumindale {

void OfficeRules::reported(std::string_view host, Instant now)
{
    if (m_listed.count(host))
        m_reports.insert_or_assign(std::string(host), now);
}

bool OfficeRules::mayAct(Instant confirmed, Instant now) const
{
    const Millis alone = now - confirmed;
    if (alone <= m_timing.lease)
        return true;
    if (alone > m_timing.longest)
        return false;
    const auto fresh = std::count_if(m_reports.begin(), m_reports.end(),
        [&](const auto& report) { return m_listed.count(report.first) && now - report.second <= m_timing.freshness; });
    return static_cast<size_t>(fresh) * 2 > m_listed.size();
}

bool OfficeRules::formerIsAlone() const
{
    const auto here = std::count_if(
        m_reports.begin(), m_reports.end(), [&](const auto& report) { return m_listed.count(report.first); });
    return !m_listed.empty() && static_cast<size_t>(here) * 2 >= m_listed.size();
}

}
