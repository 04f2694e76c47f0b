#include "decisions/StopGate.h"

#include <algorithm>

namespace cumindale {

StopGate::StopGate(std::string service, uint64_t begin, uint64_t stopVersion, Millis longestWork, GateOptions options)
    : m_service(std::move(service))
    , m_begin(begin)
    , m_stopVersion(stopVersion)
    , m_longestWork(longestWork)
    , m_options(options)
{
}

bool StopGate::acknowledged(const HostReport& report) const
{
    const auto version = report.adoptedTables.find(m_service);
    return report.counts && version != report.adoptedTables.end() && version->second >= m_stopVersion;
}

bool StopGate::nothingInFlight(const HostReport& report) const
{
    if (report.age <= m_longestWork + m_options.driftMargin)
        return false;
    return std::none_of(report.busy.begin(), report.busy.end(),
        [this](const BusySlice& busy) { return busy.begin == m_begin && busy.service == m_service; });
}

void StopGate::observe(const Roster& roster, const HostReports& reports, Instant now)
{
    size_t acknowledgedMembers = 0;
    bool allIdle = true;
    for (const auto& member : roster.members) {
        const auto report = reports.find(member.name);
        const bool hasReport = report != reports.end();
        if (hasReport && acknowledged(report->second))
            m_acknowledged.insert(member.name);
        else if (m_acknowledged.count(member.name) && hasReport && !report->second.counts)
            m_acknowledged.erase(member.name); // the host restarted, and doesn't know yet what it acknowledged
        if (!hasReport || !acknowledged(report->second) || !nothingInFlight(report->second))
            allIdle = false;
        if (member.state == MemberState::Member && m_acknowledged.count(member.name))
            ++acknowledgedMembers;
    }
    m_allIdle = allIdle;
    if (!m_majorityReachedAt && acknowledgedMembers >= roster.majority())
        m_majorityReachedAt = now;
}

bool StopGate::mayAssignOwner(Instant now) const { return m_allIdle || waitIsOver(now); }

bool StopGate::waitIsOver(Instant now) const
{
    return m_majorityReachedAt && now >= *m_majorityReachedAt + m_options.lease + m_options.driftMargin + m_longestWork;
}

}
