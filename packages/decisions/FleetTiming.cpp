#include "decisions/FleetTiming.h"

#include <algorithm>
#include <cmath>

namespace cumindale {

namespace {

    // With more hosts the interval grows, so that the coordinator handles 320 reports a second at the most, until the
    // interval has reached its maximum.
    constexpr double hostsAtMinReportInterval = 80;
    // Of the coordinator's own last answer from the store, and of the first calls to the store.
    constexpr Millis storeAnswerAge { 1'350 };
    constexpr Millis transferTime { 200 }; // of a report, and for the host's own scheduling
    constexpr Millis maxCandidateDelay { 1'200 }; // keys are without a coordinator meanwhile
    constexpr Millis heartbeatInterval { 5'000 }; // between two writes of a server's entry
    // Entries that hosts watch, in sum: a third of a link of 1 Gbit/s, with entries of 450 bytes and a heartbeat each 5
    // s.
    constexpr size_t maxWatchedEntries = 500'000;

}

bool historyIsCheaperThanRead(Millis since)
{
    constexpr int64_t maxCopies = 2; // of each entry: twice the bytes of a read, without its calls one after the other
    return since <= maxCopies * heartbeatInterval;
}

bool storeCarriesAllWatches(size_t hosts, size_t servers) { return hosts * servers <= maxWatchedEntries; }

size_t answeringHosts(size_t hosts, size_t servers)
{
    // At the longest interval between reports, 32 questions a second to each.
    constexpr size_t hostsForOne = 64;
    constexpr size_t fewest = 4; // that a third of the hosts lose the store together should leave some
    const size_t wanted = std::max(fewest, hosts / hostsForOne);
    return std::min(wanted, maxWatchedEntries / std::max<size_t>(1, servers));
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
    timing.maxShortOutage = std::max(timing.maxShortOutage, timing.reportInterval + reportTimeout + storeAnswerAge);
    const double weakDelay = factor * static_cast<double>(timing.weakCandidateDelay.count());
    timing.weakCandidateDelay = std::min(maxCandidateDelay, Millis(std::llround(weakDelay)));
    timing.serverUseLifetime = std::max(timing.serverUseLifetime, 2 * timing.reportInterval + transferTime);
    return timing;
}

}
