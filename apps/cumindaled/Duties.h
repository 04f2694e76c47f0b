// What both kinds of host need to run their duties.
#pragma once

#include "base/Metrics.h"
#include "callers/CallerServer.h"
#include "resources/Settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace cumindale {

constexpr size_t ringCapacity = 4096; // messages between two duties
constexpr int singleThread = 1; // hint for each duty's context

void runDuty(boost::asio::io_context&); // until it is stopped
CallerLimits callerLimits(const LimitSettings&);

struct DrainTiming {
    Millis balancerNotices { 2'000 }; // after health has turned, callers may still come for this long
    Millis quietBeforeClose { 1'000 }; // a connection unused for so long is closed
};

// Lets the balancer see that the host leaves, then waits for every request that it accepted, without a cap: a slow
// upload is waited for, however long it takes.
boost::asio::awaitable<void> finishCallers(CallerServer&, DrainTiming);

}
