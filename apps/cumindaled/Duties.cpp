#include "Duties.h"

#include "web/Signal.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr Millis drainPollInterval { 50 };

}

void runEventLoop(asio::io_context& context)
{
    const auto work = asio::make_work_guard(context);
    context.run();
}

CallerLimits callerLimits(const Settings& settings)
{
    const LimitSettings& limits = settings.limits;
    CallerLimits applied { limits.callerConnections, limits.bodyMemory, limits.headerBytes, limits.headerTimeout,
        limits.bodyIdleTimeout, limits.idleTimeout, limits.responseMemory, limits.connectionResponseBytes,
        limits.pipelinedRequests };
    if (settings.gateway && settings.gateway->memoryMegabytes) {
        // The rest is for what the host knows of the fleet, and for its connections.
        constexpr size_t bytesPerMegabyte = 1'000'000;
        const size_t memory = settings.gateway->memoryMegabytes * bytesPerMegabyte;
        applied.bodyMemory = std::min(applied.bodyMemory, memory / 4);
        applied.responseMemory = std::min(applied.responseMemory, memory / 8);
    }
    return applied;
}

asio::awaitable<void> drainForwarded(CallerServer& server)
{
    constexpr Millis idleBeforeClose { 200 };
    server.startDraining();
    while (server.connections()) {
        server.closeIdle(idleBeforeClose);
        co_await sleepFor(drainPollInterval);
    }
    server.stopAccepting();
}

asio::awaitable<void> drainCallers(CallerServer& callers, DrainTiming timing)
{
    callers.startDraining();
    co_await sleepFor(timing.balancerDelay);
    callers.stopAccepting();
    while (callers.connections()) {
        callers.closeIdle(timing.idleBeforeClose);
        co_await sleepFor(drainPollInterval);
    }
}

}
