#include "decisions/LeadershipRules.h"

#include <algorithm>
#include <utility>

namespace cumindale {

std::string_view nameOf(ActingBasis basis)
{
    switch (basis) {
    case ActingBasis::None:
        return "none";
    case ActingBasis::Store:
        return "store";
    case ActingBasis::Reports:
        return "reports";
    }
    return "none";
}

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

ActingBasis LeadershipRules::basis(Instant confirmed, Instant now) const
{
    const Millis sinceConfirmed = now - confirmed;
    if (sinceConfirmed <= m_timing.lease)
        return ActingBasis::Store;
    if (sinceConfirmed > m_timing.maxWithoutStore || recentReports(now) * 2 <= m_listedHosts.size())
        return ActingBasis::None;
    return ActingBasis::Reports;
}

size_t LeadershipRules::recentReports(Instant now) const
{
    return static_cast<size_t>(std::count_if(m_reports.begin(), m_reports.end(), [&](const auto& report) {
        return m_listedHosts.count(report.first) && now - report.second <= m_reportLifetime;
    }));
}

bool LeadershipRules::previousLostMajority() const
{
    const auto here = std::count_if(
        m_reports.begin(), m_reports.end(), [&](const auto& report) { return m_listedHosts.count(report.first); });
    return !m_listedHosts.empty() && static_cast<size_t>(here) * 2 >= m_listedHosts.size();
}

}
