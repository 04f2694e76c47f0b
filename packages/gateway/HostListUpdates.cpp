#include "gateway/HostListUpdates.h"

#include "decisions/FleetTiming.h"

namespace cumindale {

void HostListUpdates::beginTerm(Instant now)
{
    m_termBegan = now;
    m_madeFor = 0;
}

bool HostListUpdates::isDue(const ReportingHosts& hosts, Instant now)
{
    if (m_madeFor && (hosts.edition() == m_madeFor || now - m_madeAt < m_minInterval))
        return false;
    m_madeFor = hosts.edition();
    m_madeAt = now;
    return true;
}

bool HostListUpdates::hasHeardFrom(size_t hosts, Instant now) const
{
    constexpr int reportsToWaitFor = 2; // one may be lost
    return now - m_termBegan >= reportsToWaitFor * fleetTiming(hosts).reportInterval;
}

}
