#include "gateway/Upstream.h"

#include "decisions/ValueQueue.h"

#include <algorithm>

namespace cumindale {

namespace {

    // Keep-alive probes (web/Sockets.cpp) end a connection that went silent within about three seconds, so one that
    // has been idle for longer is as good as a young one; a new one costs the server a handshake.
    constexpr Millis trustIdle { 8'000 };
    constexpr unsigned failuresUntilRest = 2; // one may be an accident of one connection
    constexpr Millis shortestRest { 200 };
    constexpr Millis longestRest { 2'000 };

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
    , pool(std::move(executor), clock, resourceOf(registered, service), {}, std::make_unique<ValueQueue>(), trustIdle)
{
}

void Upstream::update(
    const RegisteredServer& registered, const RoutedService* service, const SlotShares& shares, Instant now)
{
    if (registered.leaving && !entry.leaving) {
        leavingSince = now;
        pool.evictQueue(); // what waits here looks for another server, or for the keys' next owner
    }
    entry = registered;
    pool.update(resourceOf(registered, service), shares.hosts);
    // While the server has room this host may have as many as come; its queue takes what several hosts send at once.
    constexpr double withRoom = 1.5; // of the slots
    const auto share = shares.slots.find(registered.id);
    pool.setLimit(share != shares.slots.end() ? share->second : std::max(1.0, withRoom * registered.slots));
}

void Upstream::failed(Instant now)
{
    if (++failures < failuresUntilRest)
        return;
    const auto doublings = std::min(failures - failuresUntilRest, 4U);
    restUntil = now + std::min(longestRest, shortestRest * (1 << doublings));
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

ServerUse Upstream::takeUse(Instant now, Millis over)
{
    count(now);
    const double time = static_cast<double>(std::max<int64_t>(1, over.count()));
    ServerUse use { std::exchange(m_busyMillis, 0) / time, std::exchange(m_waitingMillis, 0) / time, Millis(0) };
    if (m_workCount)
        use.meanWork = Millis(std::exchange(m_workMillis, 0) / std::exchange(m_workCount, 0));
    return use;
}

}
