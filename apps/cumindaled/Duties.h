// Event loops, caller limits and draining for both kinds of host.
#pragma once

#include "base/Metrics.h"
#include "callers/CallerServer.h"
#include "decisions/RouteRules.h"
#include "resources/Settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace cumindale {

constexpr size_t ringCapacity = 4096; // messages queued between two threads
constexpr int singleThread = 1; // concurrency hint for each thread's io_context

void runEventLoop(boost::asio::io_context&); // returns when the context is stopped
CallerLimits callerLimits(const Settings&);
// With room for one request at all limits of the operators' document, up to half of the machine's memory.
CallerLimits callerLimits(const Settings&, const CallerBounds&);
void logCallerLimits(const Settings&);

struct DrainTiming {
    Millis balancerDelay { 2'000 }; // how long new connections may arrive after the health check fails
    Millis idleBeforeClose { 1'000 }; // connections idle for this long are closed
};

// Fails the health check so that the load balancer removes the host, then waits for every accepted request, until the
// process has to end: a caller that never finishes its request or never takes its response must not keep it.
boost::asio::awaitable<void> drainCallers(CallerServer&, DrainTiming, const Clock&, Instant until);
// Waits for every forwarded request that was accepted, as long.
boost::asio::awaitable<void> drainForwarded(CallerServer&, const Clock&, Instant until);

}
