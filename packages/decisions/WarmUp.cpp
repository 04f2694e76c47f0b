#include "decisions/WarmUp.h"

#include "decisions/RendezvousHash.h"

#include <algorithm>
#include <utility>

namespace cumindale {

namespace {

    // How long counts must stay lower before the lower count is used. Hosts that haven't reported to a new coordinator
    // yet still send. This host may itself have been cut off, and its first counts may come from a new coordinator.
    constexpr Millis lowerCountDelay { 10'000 };
    constexpr Millis maxCountGap { 3'000 }; // longer than the usual time between counts: this host was cut off
    // By then all hosts have reported to a new coordinator, even if they report only once a second.
    constexpr Millis settlingTime { 2'000 };
    // Average rate as a fraction of what the server takes. The number of hosts that send to a server varies by chance,
    // and is now and then twice the average.
    constexpr double targetUtilization = 0.75;

}

void HostCount::count(size_t hosts, Instant now)
{
    if (!hosts)
        return;
    if (!m_firstCountAt)
        m_firstCountAt = now;
    const bool gapBefore = now - std::exchange(m_lastCountAt, now) > maxCountGap;
    if (hosts >= m_maxCount) {
        m_maxCount = hosts;
        m_lowerSince.reset();
        m_maxLowerCount = 0;
        return;
    }
    if (!m_lowerSince || gapBefore) {
        m_lowerSince = now;
        m_maxLowerCount = 0;
    }
    m_maxLowerCount = std::max(m_maxLowerCount, hosts);
    if (now - *m_lowerSince < lowerCountDelay)
        return;
    m_maxCount = std::exchange(m_maxLowerCount, 0);
    m_lowerSince.reset();
}

std::optional<size_t> HostCount::settled(Instant now) const
{
    if (!m_firstCountAt || now - *m_firstCountAt < settlingTime)
        return std::nullopt;
    return m_maxCount;
}

bool maySendDuringWarmUp(std::string_view host, std::string_view server, size_t hosts, const WarmUpLimit& bound)
{
    const double wanted = targetUtilization * bound.perSecond / static_cast<double>(std::max<size_t>(1, hosts));
    constexpr double parts = 1 << 20;
    return static_cast<double>(rendezvousHash(host, server) % (1 << 20)) < wanted * parts;
}

}
