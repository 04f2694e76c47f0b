#include "gateway/Upstream.h"

#include "base/Random.h"
#include "decisions/DeadlineQueue.h"

#include <algorithm>
#include <limits>

namespace cumindale {

namespace {

    // TCP keep-alive probes (web/Sockets.cpp) end a dead connection within about three seconds, so a connection that
    // has been idle for longer is as trustworthy as a new one, which would cost the server a handshake.
    constexpr Millis trustIdle { 8'000 };
    constexpr unsigned failuresUntilBackoff = 2; // a single failure may concern one connection only
    constexpr Millis minBackoff { 200 };
    constexpr Millis maxBackoff { 2'000 };
    // How long permits given ahead of requests stay valid: until the next ones may have arrived.
    constexpr Millis permitLifetime { 1'000 };

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
    const RoutedService* service, std::shared_ptr<ResponseMemory> memory)
    : entry(registered)
    , pool(std::move(executor), clock, resourceOf(registered, service), {}, std::move(memory),
          std::make_unique<DeadlineQueue>(), trustIdle)
    , m_localLimiter(static_cast<double>(randomNumber()) / static_cast<double>(std::numeric_limits<uint64_t>::max()))
{
}

void Upstream::update(const RegisteredServer& registered, const RoutedService* service, size_t hosts, Instant now)
{
    const bool wasOpen = !draining() && !warmingUp(now);
    entry = registered;
    if (service)
        m_warmUp = service->warmUp;
    if (wasOpen && (draining() || warmingUp(now)))
        pool.evictQueue(); // waiting requests look for another server, or for the next owner of their keys
    pool.update(resourceOf(registered, service), hosts);
    m_limit.setSlotsAndHosts(registered.slots, hosts);
    applyLimit(now);
}

void Upstream::setAnnouncedLeaving(Instant now)
{
    if (announcedLeaving())
        return;
    m_announcedLeavingSince = now;
    pool.evictQueue();
}

void Upstream::backOffUntil(Instant until)
{
    m_backoffEnd = std::max(m_backoffEnd, until);
    pool.evictQueue();
}

// --- Limits

void Upstream::applyAdvice(const ServerAdvice& advice, Instant now)
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
        m_permitInterval = advice.permitInterval;
        m_askPermitFrom = now + m_permitInterval;
        m_permitsUntil = now + permitLifetime;
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
    pool.setPermits(permits, permits ? m_permitInterval : Millis(0));
}

void Upstream::applyLimit(Instant now)
{
    const bool needs = needsPermit(now);
    const bool expired = !crowded(now) && now >= m_permitsUntil && pool.admission().permits();
    // Requests that would wait longer than the permit interval are refused, so none waits and no report asks for a
    // permit. After the interval a request may wait again.
    const bool mayAsk = needs && rateLimit() && m_permitInterval > Millis(0) && now >= m_askPermitFrom;
    if (mayAsk)
        m_permitInterval = Millis(0);
    if (needs != m_hasPermits || (needs && expired))
        setPermits(needs ? std::optional(0U) : std::nullopt);
    else if (mayAsk)
        setPermits(pool.admission().permits());
    if (!needs)
        pool.setLimit(m_limit.value());
}

Instant Upstream::nextPermit(Instant now) const
{
    return now + m_permitInterval * static_cast<int64_t>(pool.admission().queued() + 1);
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

void Upstream::setLimitFromServer(std::optional<PerSecond> limit, Instant now)
{
    const bool limited = rateLimit().has_value();
    m_rate.heardFromServer(limit, now);
    if (limited || rateLimit())
        applyRate(now);
}

void Upstream::setLimitFromCoordinator(std::optional<PerSecond> limit, size_t hosts, Instant now)
{
    const bool limited = rateLimit().has_value();
    m_sharingHosts = hosts;
    m_rate.heardFromCoordinator(limit, now);
    if (limited || rateLimit())
        applyRate(now);
}

void Upstream::applyRate(Instant now)
{
    if (rateLimit() && m_sharingHosts)
        m_localLimiter.setLimit(uncoordinatedFraction * *rateLimit(), m_sharingHosts, now);
    applyLimit(now);
}

void Upstream::recordLocalSend(Instant now)
{
    if (usesLocalLimiter(now))
        m_localLimiter.recordSend(now);
}

// --- Health, usage

void Upstream::recordFailure(Instant now)
{
    if (++failures < failuresUntilBackoff)
        return;
    const auto doublings = std::min(failures - failuresUntilBackoff, 4U);
    failingUntil = now + std::min(maxBackoff, minBackoff * (1 << doublings));
}

void Upstream::forgetFailures()
{
    failures = 0;
    failingUntil = {};
    acceptsConnections = true;
    m_connectFailed = false;
}

bool Upstream::recordConnected(Instant now)
{
    // A server writes its entry as soon as it has started, and the change reaches hosts within half a second.
    constexpr Millis entryDelay { 700 };
    if (std::exchange(m_connectFailed, false) && m_warmUp.isSet())
        m_reconnectHoldUntil = now + entryDelay;
    return now >= m_reconnectHoldUntil;
}

void Upstream::accumulateUse(Instant now)
{
    const double passed = static_cast<double>((now - m_countedAt).count());
    m_countedAt = now;
    m_busyMillis += passed * pool.admission().inFlight();
    m_waitingMillis += passed * static_cast<double>(pool.admission().queued());
}

void Upstream::recordWork(Millis took)
{
    m_workMillis += took.count();
    ++m_workCount;
}

std::optional<ServerUse> Upstream::takeUse(Instant now, Millis period)
{
    accumulateUse(now);
    const double time = static_cast<double>(std::max<int64_t>(1, period.count()));
    ServerUse use;
    use.inFlight = std::exchange(m_busyMillis, 0) / time;
    use.waiting = std::exchange(m_waitingMillis, 0) / time;
    if (m_workCount)
        use.meanWork = Millis(std::exchange(m_workMillis, 0) / std::exchange(m_workCount, 0));
    use.present = pool.admission().inFlight();
    use.waitingNow = static_cast<unsigned>(pool.admission().queued());
    use.overdue = static_cast<unsigned>(std::distance(overdueTimes.begin(), overdueTimes.lower_bound(now)));
    const bool inUse = use.inFlight > 0 || use.waiting > 0 || use.present || use.waitingNow;
    const bool tell = inUse || (m_inLastReport && needsPermit(now));
    m_inLastReport = inUse;
    if (!tell)
        return std::nullopt;
    return use;
}

}
