#include "decisions/RateLimit.h"

#include <algorithm>
#include <cmath>

namespace cumindale {

namespace {

    // What this host heard itself counts beside what the coordinator tells until that must have heard of it: two
    // reports of hundreds of hosts later.
    constexpr Millis coordinatorHearsWithin { 2'000 };
    constexpr Millis aloneAfter { 1'500 }; // longer than between two reports of hundreds of hosts

    // Of all hosts together: in four seconds a server bears half as much again as it names, and five requests more.
    constexpr double keptForRate = 2; // turns kept, for each request a second
    constexpr double keptBesides = 4;
    constexpr double usedWhereKept = 0.9; // part of the limit
    constexpr double usedWhereLapsing = 0.6; // whose turns fall together is a matter of chance
    constexpr Millis turnLasts { 500 };
    constexpr double burstSeconds = 0.5; // of permits that nobody asked for
    constexpr double leastChange = 0.2; // of a limit, that hosts are told

    Millis secondsToMillis(double seconds) { return Millis(std::llround(seconds * 1000)); }

}

// --- On a host

void KnownRateLimit::said(std::optional<PerSecond> limit, Instant now)
{
    const bool known = m_told || (m_said && m_said->limit);
    if (limit)
        m_said = Said { std::max(leastRate, *limit), now };
    else if (known)
        m_said = Said { std::nullopt, now };
}

void KnownRateLimit::told(std::optional<PerSecond> limit, Instant now)
{
    m_told = limit;
    m_toldAt = now;
}

void KnownRateLimit::repeatToNewCoordinator()
{
    const bool ownIsNewer = m_said && m_said->at >= m_toldAt;
    if (m_told && !ownIsNewer)
        m_said = Said { m_told, m_toldAt };
}

std::optional<PerSecond> KnownRateLimit::limit() const
{
    const bool ownCounts = m_said && m_said->limit && m_said->at + coordinatorHearsWithin > m_toldAt;
    return ownCounts ? m_said->limit : m_told;
}

bool KnownRateLimit::isAlone(Instant now) const { return now - m_toldAt > aloneAfter; }

std::optional<KnownRateLimit::Said> KnownRateLimit::toReport(Instant now) const
{
    // Once more after a report that may have been lost, and to a coordinator that has just begun.
    constexpr Millis repeatFor { 2'500 };
    const bool isNews = m_said && (now - m_said->at <= repeatFor || m_said->at + coordinatorHearsWithin > m_toldAt);
    return isNews ? m_said : std::nullopt;
}

// --- Turns

void RateTurns::set(PerSecond limit, size_t hosts, Instant now)
{
    const auto sharers = static_cast<double>(std::max<size_t>(1, hosts));
    // Few hosts may keep turns until they have requests for them: should all of them have some at once, the server
    // bears it. Of many hosts' turns those that are not used lapse.
    const double kept = (keptForRate * limit + keptBesides) / sharers;
    m_kept.set(usedWhereKept * limit / sharers, std::floor(kept), now);
    const Millis period = secondsToMillis(sharers / (usedWhereLapsing * limit));
    if (m_lapses)
        m_turn = std::min(m_turn, now + period);
    else
        m_turn = now + Millis(std::llround(m_phase * static_cast<double>(period.count())));
    m_period = period;
    m_lapses = kept < 1;
}

Instant RateTurns::next(Instant now) const
{
    if (!m_lapses)
        return m_kept.next(now);
    if (now < m_turn + turnLasts)
        return std::max(now, m_turn);
    const int64_t missed = (now - m_turn - turnLasts).count() / std::max<int64_t>(1, m_period.count()) + 1;
    return std::max(now, m_turn + m_period * missed);
}

void RateTurns::take(Instant now)
{
    m_kept.take(1, now);
    while (m_lapses && m_turn <= now)
        m_turn += std::max(m_period, Millis(1));
}

// --- At the coordinator

void RateLedger::said(std::string_view server, std::optional<PerSecond> limit, Instant at, Instant now)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() && !limit)
        return;
    State& state = found == m_servers.end() ? m_servers[std::string(server)] : found->second;
    if (at < state.saidAt)
        return;
    state.saidAt = at;
    if (limit)
        limit = std::max(leastRate, *limit);
    const double change = limit && state.toldAs > 0 ? std::abs(*limit / state.toldAs - 1) : 1;
    const bool news = state.limit.has_value() != limit.has_value() || (limit && change > leastChange);
    state.limit = limit;
    if (limit)
        state.permits.set(*limit, std::max(1.0, *limit * burstSeconds), now);
    if (!news)
        return;
    state.toldAs = limit.value_or(0);
    ++m_edition;
}

std::optional<PerSecond> RateLedger::limitOf(std::string_view server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? std::nullopt : found->second.limit;
}

unsigned RateLedger::takePermits(std::string_view server, unsigned wanted, Instant now)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || !found->second.limit)
        return wanted;
    return found->second.permits.take(wanted, now);
}

bool RateLedger::hasSpare(std::string_view server, Instant now) const
{
    const auto found = m_servers.find(server);
    return found != m_servers.end() && found->second.permits.hasSpare(now);
}

Millis RateLedger::permitInterval(std::string_view server, size_t hosts) const
{
    const auto limit = limitOf(server);
    return limit ? secondsToMillis(static_cast<double>(std::max<size_t>(1, hosts)) / *limit) : Millis(0);
}

}
