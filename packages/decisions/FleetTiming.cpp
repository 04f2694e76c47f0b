#include "decisions/FleetTiming.h"

#include <algorithm>
#include <cmath>

namespace cumindale {

namespace {

    // With more hosts the interval grows, so that the coordinator handles 320 reports a second at the most, until the
    // interval has reached its maximum.
    constexpr double hostsAtMinReportInterval = 80;
    constexpr Millis transferTime { 200 }; // of a report, and for the host's own scheduling

}

FleetTiming fleetTiming(size_t hosts)
{
    const double factor = std::max(1.0, static_cast<double>(hosts) / hostsAtMinReportInterval);
    const double interval = factor * static_cast<double>(minReportInterval.count());
    const double longest = static_cast<double>(maxReportInterval.count());
    FleetTiming timing;
    timing.reportInterval = Millis(std::llround(std::min(interval, longest)));
    timing.reportLifetime = std::max(timing.reportLifetime, 2 * timing.reportInterval + reportTimeout);
    timing.hostTimeout = std::max(timing.hostTimeout, 3 * timing.reportInterval + reportTimeout);
    timing.serverUseLifetime = std::max(timing.serverUseLifetime, 2 * timing.reportInterval + transferTime);
    return timing;
}

}
