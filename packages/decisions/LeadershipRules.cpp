#include "decisions/LeadershipRules.h"

#include <algorithm>
#include <utility>

namespace cumindale {

void LeadershipRules::setListedHosts(std::set<std::string, std::less<>> hosts)
{
    m_listedHosts = std::move(hosts);
    m_reportLifetime = fleetTiming(m_listedHosts.size()).reportLifetime;
    if (!std::exchange(m_hasList, true))
        m_previousReportLifetime = m_reportLifetime;
}

void LeadershipRules::onListWriteBegun(size_t hosts)
{
    m_reportLifetime = std::min(m_reportLifetime, fleetTiming(hosts).reportLifetime);
}

void LeadershipRules::onReport(std::string_view host, Instant now)
{
    if (m_listedHosts.count(host))
        m_reports.insert_or_assign(std::string(host), now);
}

bool LeadershipRules::mayAct(Instant confirmed, Instant now) const
{
    const Millis sinceConfirmed = now - confirmed;
    if (sinceConfirmed <= m_timing.lease)
        return true;
    if (sinceConfirmed > m_timing.maxWithoutStore)
        return false;
    const auto fresh = std::count_if(m_reports.begin(), m_reports.end(), [&](const auto& report) {
        return m_listedHosts.count(report.first) && now - report.second <= m_reportLifetime;
    });
    return static_cast<size_t>(fresh) * 2 > m_listedHosts.size();
}

bool LeadershipRules::previousLostMajority() const
{
    const auto here = std::count_if(
        m_reports.begin(), m_reports.end(), [&](const auto& report) { return m_listedHosts.count(report.first); });
    return !m_listedHosts.empty() && static_cast<size_t>(here) * 2 >= m_listedHosts.size();
}

}
