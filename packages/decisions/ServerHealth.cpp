#include "decisions/ServerHealth.h"

#include <algorithm>
#include <set>

namespace cumindale {

ServerMonitor::ServerMonitor(MonitorOptions options)
    : m_options(options)
{
}

void ServerMonitor::answered(Instant now)
{
    m_misses = 0;
    m_refusals = 0;
    m_reachability = Reachability::Reachable;
    m_lastAnswer = now;
}

void ServerMonitor::probeMissed(Instant)
{
    m_refusals = 0;
    if (++m_misses >= m_options.missesUntilUnresponsive)
        m_reachability = Reachability::Unresponsive;
}

void ServerMonitor::refused(Instant)
{
    if (++m_refusals >= m_options.refusalsUntilRefused)
        m_reachability = Reachability::Refused;
}

bool ServerMonitor::acceptsNewWork() const
{
    // The first missed probe already stops new work. If the server turns out to be frozen, its keys can move only after
    // the deadline of every request sent to it.
    const bool reachable = m_reachability == Reachability::Reachable || m_reachability == Reachability::Unknown;
    return reachable && !m_misses && !m_refusals;
}

bool isServerLost(const Roster& roster, const std::vector<Observation>& observations)
{
    size_t observers = 0;
    size_t unreachable = 0;
    std::set<std::string_view> centres;
    std::set<std::string_view> unreachableCentres;
    for (const auto& observation : observations) {
        const Member* member = roster.find(observation.host);
        if (!member || member->state != MemberState::Member || observation.reachability == Reachability::Unknown)
            continue;
        ++observers;
        centres.insert(member->dataCentre);
        if (observation.reachability == Reachability::Reachable)
            continue;
        ++unreachable;
        unreachableCentres.insert(member->dataCentre);
    }
    const bool enoughHosts
        = unreachable * 2 > observers && unreachable >= std::min<size_t>(2, roster.activeMemberCount());
    const bool enoughCentres = unreachableCentres.size() >= std::min<size_t>(2, centres.size());
    return unreachable && enoughHosts && enoughCentres;
}

}
