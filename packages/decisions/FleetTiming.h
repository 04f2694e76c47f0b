// All times that depend on the number of hosts.
//
// Each host reports to the coordinator, whose work must stay bounded, so with more hosts each one reports less often.
// Whatever is judged by the age of a report must allow for that: with fixed times, from some hundred hosts on a
// coordinator without the store would never hear from a majority in time and let all leases expire, and one lost report
// would remove a host.
#pragma once

#include "base/Time.h"

#include <cstddef>

namespace cumindale {

constexpr Millis minReportInterval { 250 }; // slot shares follow a burst within about half a second
// A host detects the loss of the coordinator by its next report, and changes must be in force within four seconds.
constexpr Millis maxReportInterval { 2'000 };
constexpr Millis reportTimeout { 400 }; // a report arrives within this time or never

struct FleetTiming {
    Millis reportInterval { minReportInterval }; // between two reports of one host
    // A coordinator without the store counts a host as its own for so long after a report. One report may be lost.
    Millis reportLifetime { 1'200 };
    Millis hostTimeout { 3'000 }; // a host is removed this long after its last report; two may be lost
    Millis serverUseLifetime { 700 }; // a host's report that a server has answered is valid for so long
};

FleetTiming fleetTiming(size_t hosts);

}
