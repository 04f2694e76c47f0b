#include "decisions/ServerHealth.h"

#include <algorithm>
#include <set>

namespace cumindale {

ServerWatch::ServerWatch(WatchOptions options)
    : m_options(options)
{
}

void ServerWatch::answered(Instant now)
{
    m_misses = 0;
    m_refusals = 0;
    m_sight = Sight::Reachable;
    m_lastAnswer = now;
}

void ServerWatch::probeMissed(Instant)
{
    m_refusals = 0;
    if (++m_misses >= m_options.missesUntilSilent)
        m_sight = Sight::Silent;
}

void ServerWatch::refused(Instant)
{
    if (++m_refusals >= m_options.refusalsUntilRefused)
        m_sight = Sight::Refused;
}

bool ServerWatch::takesWork() const
{
    // Not after the first missed probe already: what is sent to a server that turns out to be frozen must be
    // waited for until its deadline before the keys may move.
    const bool reachable = m_sight == Sight::Reachable || m_sight == Sight::Unknown;
    return reachable && !m_misses && !m_refusals;
}

bool isLost(const Roster& roster, const std::vector<Observation>& observations)
{
    size_t opinions = 0;
    size_t blind = 0;
    std::set<std::string_view> centres;
    std::set<std::string_view> blindCentres;
    for (const auto& observation : observations) {
        const Member* member = roster.find(observation.host);
        if (!member || member->state != MemberState::Member || observation.sight == Sight::Unknown)
            continue;
        ++opinions;
        centres.insert(member->dataCentre);
        if (observation.sight == Sight::Reachable)
            continue;
        ++blind;
        blindCentres.insert(member->dataCentre);
    }
    const bool enoughHosts = blind * 2 > opinions && blind >= std::min<size_t>(2, roster.activeMemberCount());
    const bool enoughCentres = blindCentres.size() >= std::min<size_t>(2, centres.size());
    return blind && enoughHosts && enoughCentres;
}

}
