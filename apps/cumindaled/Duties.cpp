#include "Duties.h"

#include "web/Signal.h"

#include <boost/asio/executor_work_guard.hpp>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr Millis drainLook { 50 };

}

void runDuty(asio::io_context& context)
{
    const auto work = asio::make_work_guard(context);
    context.run();
}

CallerLimits callerLimits(const LimitSettings& limits)
{
    return { limits.callerConnections, limits.bodyMemory, limits.headerBytes, limits.headerTimeout,
        limits.bodyIdleTimeout, limits.idleTimeout };
}

asio::awaitable<void> finishCallers(CallerServer& callers, DrainTiming timing)
{
    callers.startDraining();
    co_await sleepFor(timing.balancerNotices);
    callers.stopAccepting();
    while (callers.connections()) {
        callers.closeIdle(timing.quietBeforeClose);
        co_await sleepFor(drainLook);
    }
}

}
