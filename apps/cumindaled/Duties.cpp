#include "Duties.h"

#include "web/Signal.h"

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

CallerLimits callerLimits(const LimitSettings& limits)
{
    return { limits.callerConnections, limits.bodyMemory, limits.headerBytes, limits.headerTimeout,
        limits.bodyIdleTimeout, limits.idleTimeout };
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
