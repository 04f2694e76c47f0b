#include "decisions/RateLimit.h"

#include <algorithm>
#include <cmath>

namespace cumindale {

namespace {

    // The server's own response overrides the coordinator's answers until the coordinator must have received this
    // host's report of it. With hundreds of hosts this is the time of two reports.
    constexpr Millis maxReportDelay { 2'000 };
    constexpr Millis coordinatorTimeout { 1'500 }; // longer than the report interval with hundreds of hosts

    // Sums over all hosts. In four seconds a server tolerates one and a half times its limit plus five requests.
    constexpr double capacityPerRate = 2; // tokens, for each request a second of the limit
    constexpr double baseCapacity = 4;
    constexpr double bucketFraction = 0.9; // of the limit, used with token buckets
    constexpr double timeSlotFraction = 0.6; // of the limit, used with time slots: slots of several hosts may coincide
    constexpr Millis slotDuration { 500 };
    constexpr double burstSeconds = 0.5; // capacity of the permit bucket, as time at the limit
    constexpr double minPublishedChange = 0.2; // relative; smaller changes of a limit are not sent to hosts

    Millis secondsToMillis(double seconds) { return Millis(std::llround(seconds * 1000)); }

}

// --- On each host, from responses and reports

void KnownRateLimit::heardFromServer(std::optional<PerSecond> limit, Instant now)
{
    const bool known = m_fromCoordinator || (m_fromServer && m_fromServer->limit);
    if (limit)
        m_fromServer = Observation { std::max(minLimit, *limit), now };
    else if (known)
        m_fromServer = Observation { std::nullopt, now };
}

void KnownRateLimit::heardFromCoordinator(std::optional<PerSecond> limit, Instant now)
{
    m_fromCoordinator = limit;
    m_coordinatorAnsweredAt = now;
}

void KnownRateLimit::repeatToNewCoordinator()
{
    const bool serverIsNewer = m_fromServer && m_fromServer->at >= m_coordinatorAnsweredAt;
    if (m_fromCoordinator && !serverIsNewer)
        m_fromServer = Observation { m_fromCoordinator, m_coordinatorAnsweredAt };
}

std::optional<PerSecond> KnownRateLimit::limit() const
{
    const bool serverCounts
        = m_fromServer && m_fromServer->limit && m_fromServer->at + maxReportDelay > m_coordinatorAnsweredAt;
    return serverCounts ? m_fromServer->limit : m_fromCoordinator;
}

bool KnownRateLimit::coordinatorSilent(Instant now) const { return now - m_coordinatorAnsweredAt > coordinatorTimeout; }

std::optional<KnownRateLimit::Observation> KnownRateLimit::toReport(Instant now) const
{
    // Reported repeatedly, in case a report is lost or the coordinator has just started.
    constexpr Millis repeatFor { 2'500 };
    const bool isNew = m_fromServer
        && (now - m_fromServer->at <= repeatFor || m_fromServer->at + maxReportDelay > m_coordinatorAnsweredAt);
    return isNew ? m_fromServer : std::nullopt;
}

// --- On each host, without a coordinator

void LocalRateLimiter::setLimit(PerSecond limit, size_t hosts, Instant now)
{
    const auto hostCount = static_cast<double>(std::max<size_t>(1, hosts));
    // With few hosts, each may save up tokens in a bucket: the server tolerates that all hosts spend them at once. With
    // many hosts, whose share of the capacity is below one token, each sends in time slots, which expire unused.
    const double capacity = (capacityPerRate * limit + baseCapacity) / hostCount;
    m_bucket.setRate(bucketFraction * limit / hostCount, std::floor(capacity), now);
    const Millis period = secondsToMillis(hostCount / (timeSlotFraction * limit));
    if (m_usesTimeSlots)
        m_slotStart = std::min(m_slotStart, now + period);
    else
        m_slotStart = now + Millis(std::llround(m_phase * static_cast<double>(period.count())));
    m_period = period;
    m_usesTimeSlots = capacity < 1;
}

Instant LocalRateLimiter::nextSendAt(Instant now) const
{
    if (!m_usesTimeSlots)
        return m_bucket.nextTokenAt(now);
    if (now < m_slotStart + slotDuration)
        return std::max(now, m_slotStart);
    const int64_t missedSlots = (now - m_slotStart - slotDuration).count() / std::max<int64_t>(1, m_period.count()) + 1;
    return std::max(now, m_slotStart + m_period * missedSlots);
}

void LocalRateLimiter::recordSend(Instant now)
{
    m_bucket.take(1, now);
    while (m_usesTimeSlots && m_slotStart <= now)
        m_slotStart += std::max(m_period, Millis(1));
}

// --- At the coordinator

void GlobalRateLimiter::limitReported(std::string_view server, std::optional<PerSecond> limit, Instant at, Instant now)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() && !limit)
        return;
    State& state = found == m_servers.end() ? m_servers[std::string(server)] : found->second;
    if (at < state.observedAt)
        return;
    state.observedAt = at;
    if (limit)
        limit = std::max(minLimit, *limit);
    const double change = limit && state.publishedLimit > 0 ? std::abs(*limit / state.publishedLimit - 1) : 1;
    const bool mustPublish = state.limit.has_value() != limit.has_value() || (limit && change > minPublishedChange);
    state.limit = limit;
    if (limit)
        state.permits.setRate(*limit, std::max(1.0, *limit * burstSeconds), now);
    if (!mustPublish)
        return;
    state.publishedLimit = limit.value_or(0);
    ++m_edition;
}

std::optional<PerSecond> GlobalRateLimiter::limitOf(std::string_view server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? std::nullopt : found->second.limit;
}

unsigned GlobalRateLimiter::takePermits(std::string_view server, unsigned wanted, Instant now)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || !found->second.limit)
        return wanted;
    return found->second.permits.take(wanted, now);
}

bool GlobalRateLimiter::hasSpare(std::string_view server, Instant now) const
{
    const auto found = m_servers.find(server);
    return found != m_servers.end() && found->second.permits.hasSpare(now);
}

Millis GlobalRateLimiter::permitInterval(std::string_view server, size_t hosts) const
{
    const auto limit = limitOf(server);
    return limit ? secondsToMillis(static_cast<double>(std::max<size_t>(1, hosts)) / *limit) : Millis(0);
}

}
