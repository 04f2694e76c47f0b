#include "gateway/Upstream.h"

#include "base/Random.h"
#include "decisions/DeadlineQueue.h"

#include <algorithm>
#include <limits>

namespace cumindale {

namespace {

    // Keep-alive probes (web/Sockets.cpp) end a connection that went silent within about three seconds, so one that
    // has been idle for longer is as good as a young one; a new one costs the server a handshake.
    constexpr Millis trustIdle { 8'000 };
    constexpr unsigned failuresUntilPause = 2; // one may be an accident of one connection
    constexpr Millis shortestPause { 200 };
    constexpr Millis longestPause { 2'000 };
    // A permit that comes ahead of requests, until the next one may have come.
    constexpr Millis permitsLast { 1'000 };

    ServerResource resourceOf(const RegisteredServer& entry, const RoutedService* service)
    {
        ServerResource resource;
        resource.name = entry.id;
        resource.service = entry.service;
        resource.address = entry.address;
        resource.port = entry.port;
        resource.dataCentre = entry.dataCentre;
        resource.slots = entry.slots;
        if (service)
            resource.connections = service->connections;
        return resource;
    }

}

Upstream::Upstream(boost::asio::any_io_executor executor, const Clock& clock, const RegisteredServer& registered,
    const RoutedService* service)
    : entry(registered)
    , pool(
          std::move(executor), clock, resourceOf(registered, service), {}, std::make_unique<DeadlineQueue>(), trustIdle)
    , m_turns(static_cast<double>(randomNumber()) / static_cast<double>(std::numeric_limits<uint64_t>::max()))
{
}

void Upstream::update(const RegisteredServer& registered, const RoutedService* service, size_t hosts, Instant now)
{
    if (registered.leaving && !entry.leaving)
        leavingSince = now;
    if (registered.evacuated && !entry.evacuated)
        evacuatedSince = now;
    const bool wasOpen = !withdrawn() && !warmingUp(now);
    entry = registered;
    if (service)
        m_warmUp = service->warmUp;
    if (wasOpen && (withdrawn() || warmingUp(now)))
        pool.evictQueue(); // what waits here looks for another server, or for the keys' next owner
    pool.update(resourceOf(registered, service), hosts);
    m_limit.setSlotsAndHosts(registered.slots, hosts);
    applyLimit(now);
}

void Upstream::sayLeaving(Instant now)
{
    if (saysLeaving())
        return;
    m_saysLeavingSince = now;
    pool.evictQueue();
}

void Upstream::askForRest(Instant until)
{
    m_restUntil = std::max(m_restUntil, until);
    pool.evictQueue();
}

// --- Limits

void Upstream::advise(const ServerAdvice& advice, Instant now)
{
    switch (advice.kind) {
    case ServerAdvice::Kind::Room:
        m_limit.setUnrestricted();
        break;
    case ServerAdvice::Kind::Share:
        m_limit.setShare(advice.share);
        break;
    case ServerAdvice::Kind::Permits:
        if (!rateLimit())
            m_limit.setCrowded(now);
        m_permitPause = advice.permitInterval;
        m_mayAskFrom = now + m_permitPause;
        m_permitsUntil = now + permitsLast;
        if (needsPermit(now))
            setPermits(advice.permits);
        break;
    }
    applyLimit(now);
}

void Upstream::setCrowded(Instant now)
{
    const bool known = m_limit.crowded(now);
    m_limit.setCrowded(now);
    if (!known)
        dropPermits(now);
}

void Upstream::setPermits(std::optional<unsigned> permits)
{
    m_hasPermits = permits.has_value();
    pool.setPermits(permits, permits ? m_permitPause : Millis(0));
}

void Upstream::applyLimit(Instant now)
{
    const bool needs = needsPermit(now);
    const bool lapsed = !crowded(now) && now >= m_permitsUntil && pool.admission().permits();
    // Where requests are refused for the pause, none waits and no report tells of it: after the pause one may ask
    // again.
    const bool mayAsk = needs && rateLimit() && m_permitPause > Millis(0) && now >= m_mayAskFrom;
    if (mayAsk)
        m_permitPause = Millis(0);
    if (needs != m_hasPermits || (needs && lapsed))
        setPermits(needs ? std::optional(0U) : std::nullopt);
    else if (mayAsk)
        setPermits(pool.admission().permits());
    if (!needs)
        pool.setLimit(m_limit.value());
}

Instant Upstream::nextPermit(Instant now) const
{
    return now + m_permitPause * static_cast<int64_t>(pool.admission().queued() + 1);
}

void Upstream::clearShare(Instant now)
{
    m_limit.clearShare();
    applyLimit(now);
}

void Upstream::dropPermits(Instant now)
{
    if (crowded(now))
        setPermits(0);
}

void Upstream::sayRate(std::optional<PerSecond> limit, Instant now)
{
    const bool limited = rateLimit().has_value();
    m_rate.heardFromServer(limit, now);
    if (limited || rateLimit())
        applyRate(now);
}

void Upstream::tellRate(std::optional<PerSecond> limit, size_t hosts, Instant now)
{
    const bool limited = rateLimit().has_value();
    m_sharers = hosts;
    m_rate.heardFromCoordinator(limit, now);
    if (limited || rateLimit())
        applyRate(now);
}

void Upstream::applyRate(Instant now)
{
    if (rateLimit() && m_sharers)
        m_turns.setLimit(uncoordinatedFraction * *rateLimit(), m_sharers, now);
    applyLimit(now);
}

void Upstream::takeTurn(Instant now)
{
    if (takesTurns(now))
        m_turns.recordSend(now);
}

// --- Health, use

void Upstream::failed(Instant now)
{
    if (++failures < failuresUntilPause)
        return;
    const auto doublings = std::min(failures - failuresUntilPause, 4U);
    failingUntil = now + std::min(longestPause, shortestPause * (1 << doublings));
}

bool Upstream::connected(Instant now)
{
    // A server writes its entry as soon as it has started, and the news of it take half a second at the most.
    constexpr Millis entryWithin { 700 };
    if (std::exchange(m_connectFailed, false) && m_warmUp.isSet())
        m_heldOffUntil = now + entryWithin;
    return now >= m_heldOffUntil;
}

void Upstream::count(Instant now)
{
    const double passed = static_cast<double>((now - m_countedAt).count());
    m_countedAt = now;
    m_busyMillis += passed * pool.admission().inFlight();
    m_waitingMillis += passed * static_cast<double>(pool.admission().queued());
}

void Upstream::countWork(Millis took)
{
    m_workMillis += took.count();
    ++m_workCount;
}

std::optional<ServerUse> Upstream::takeUse(Instant now, Millis over)
{
    count(now);
    const double time = static_cast<double>(std::max<int64_t>(1, over.count()));
    ServerUse use;
    use.inFlight = std::exchange(m_busyMillis, 0) / time;
    use.waiting = std::exchange(m_waitingMillis, 0) / time;
    if (m_workCount)
        use.meanWork = Millis(std::exchange(m_workMillis, 0) / std::exchange(m_workCount, 0));
    use.present = pool.admission().inFlight();
    use.waitingNow = static_cast<unsigned>(pool.admission().queued());
    use.overdue = static_cast<unsigned>(std::distance(overdueFrom.begin(), overdueFrom.lower_bound(now)));
    const bool inUse = use.inFlight > 0 || use.waiting > 0 || use.present || use.waitingNow;
    const bool tell = inUse || (m_told && needsPermit(now));
    m_told = inUse;
    if (!tell)
        return std::nullopt;
    return use;
}

}
