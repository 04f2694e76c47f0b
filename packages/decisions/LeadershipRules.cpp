#include "decisions/LeadershipRules.h"

#include <algorithm>
#include <utility>

namespace cumindale {

Instant reportSentAfter(const AdviceEcho& echo, int64_t term, Instant now)
{
    if (!echo.term || echo.term != term)
        return {};
    return std::min(now, echo.answeredAt + std::max(Millis(0), echo.age));
}

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

void LeadershipRules::onReport(std::string_view host, Instant sentAfter)
{
    if (!m_listedHosts.count(host))
        return;
    Instant& last = m_reports.try_emplace(std::string(host)).first->second;
    last = std::max(last, sentAfter);
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
