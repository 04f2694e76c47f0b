#include "decisions/ServerLimit.h"

#include <algorithm>

namespace cumindale {

void ServerLimit::setSlotsAndHosts(unsigned slots, size_t hosts)
{
    m_slots = std::max(1U, slots);
    m_hosts = hosts;
}

void ServerLimit::setShare(double share)
{
    m_share = share;
    m_crowdedUntil = {};
}

void ServerLimit::setCrowded(Instant now)
{
    m_crowdedUntil = now + m_options.crowdedTimeout;
    m_share.reset();
}

void ServerLimit::setUnrestricted()
{
    m_share.reset();
    m_crowdedUntil = {};
}

void ServerLimit::clearShare() { m_share.reset(); }

double ServerLimit::value() const
{
    if (m_share)
        return *m_share;
    return hostsExceedQueue(m_hosts, m_slots) ? 1 : std::max(1.0, m_options.unsharedPerSlot * m_slots);
}

}
