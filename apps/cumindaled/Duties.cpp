#include "Duties.h"

#include "base/Log.h"
#include "web/Signal.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <sys/resource.h>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr Millis drainPollInterval { 50 };

    // Bytes; the largest number if it isn't limited.
    size_t machineMemory(const Settings& settings)
    {
        constexpr size_t bytesPerMegabyte = 1'000'000;
        const bool isLimited = settings.gateway && settings.gateway->memoryMegabytes;
        return isLimited ? settings.gateway->memoryMegabytes * bytesPerMegabyte : SIZE_MAX;
    }

    // That this process may have open.
    size_t descriptorLimit(const Settings& settings)
    {
        rlimit own {};
        const size_t limit = ::getrlimit(RLIMIT_NOFILE, &own) == 0 ? own.rlim_cur : SIZE_MAX;
        const size_t announced = settings.gateway ? settings.gateway->descriptors : 0;
        return announced ? std::min(limit, announced) : limit;
    }

    // The other descriptors and the rest of the memory are for servers, other hosts, the store and operators.
    size_t mostConnections(const Settings& settings)
    {
        constexpr size_t connectionBytes = 16'384; // that a connection takes without a request
        return std::min(descriptorLimit(settings) / 2, machineMemory(settings) / 8 / connectionBytes);
    }

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
    // The rest is for what the host knows of the fleet, and for its connections.
    const size_t memory = machineMemory(settings);
    applied.connections = std::min(applied.connections, mostConnections(settings));
    applied.bodyMemory = std::min(applied.bodyMemory, memory / 4);
    applied.responseMemory = std::min(applied.responseMemory, memory / 8);
    return applied;
}

CallerLimits callerLimits(const Settings& settings, const CallerBounds& bounds)
{
    CallerLimits limits = callerLimits(settings);
    limits.rulesRevision = bounds.revision;
    limits.headerBytes = bounds.headerBytes;
    limits.headerTimeout = bounds.headerTimeout;
    // Callers may send a request until the idle limit. Closing the connection exactly then could race with one.
    constexpr Millis idleTimeoutMargin { 1'000 };
    limits.idleTimeout = bounds.idleTimeout + idleTimeoutMargin;
    const size_t largest = memoryOfLargestRequest(bounds.headerBytes, bounds.bodyBytes);
    limits.bodyMemory = std::max(limits.bodyMemory, std::min(largest, machineMemory(settings) / 2));
    return limits;
}

void logCallerLimits(const Settings& settings)
{
    const CallerLimits limits = callerLimits(settings);
    logChange(LogLevel::Info, "caller-limits",
        { { "connections", limits.connections }, { "descriptors", descriptorLimit(settings) },
            { "requestBytes", limits.bodyMemory }, { "responseBytes", limits.responseMemory } });
}

namespace {

    asio::awaitable<void> waitForCallers(
        CallerServer& callers, Millis idleBeforeClose, const Clock& clock, Instant until)
    {
        while (callers.connections() && clock.now() < until) {
            callers.closeIdle(idleBeforeClose);
            co_await sleepFor(drainPollInterval);
        }
        if (callers.connections())
            logChange(LogLevel::Warning, "callers-cut-off", { { "connections", callers.connections() } });
    }

}

asio::awaitable<void> drainForwarded(CallerServer& server, const Clock& clock, Instant until)
{
    constexpr Millis idleBeforeClose { 200 };
    server.startDraining();
    co_await waitForCallers(server, idleBeforeClose, clock, until);
    server.stopAccepting();
}

asio::awaitable<void> drainCallers(CallerServer& callers, DrainTiming timing, const Clock& clock, Instant until)
{
    callers.startDraining();
    co_await sleepFor(timing.balancerDelay);
    callers.stopAccepting();
    co_await waitForCallers(callers, timing.idleBeforeClose, clock, until);
}

}
