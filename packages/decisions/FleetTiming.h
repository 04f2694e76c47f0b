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
constexpr Millis reportTimeout { 400 }; // how long a host waits for the advice that answers its report

struct FleetTiming {
    Millis reportInterval { minReportInterval }; // between two reports of one host
    // A coordinator without the store counts a host as its own for so long after the host sent a report. One report may
    // be lost.
    Millis reportLifetime { 1'200 };
    Millis hostTimeout { 3'000 }; // a host is removed this long after its last report; two may be lost
    // A host that asks the store itself for the first time after its coordinator has fallen silent has last heard of
    // the store this long ago at the most. A longer silence is an outage of the store, in which entries may have
    // expired.
    Millis maxShortOutage { 2'000 };
    // The weakest hosts are candidates this much later than strong ones, so that most know by then who was elected.
    // Each candidate costs the store three calls.
    Millis weakCandidateDelay { 150 };
    Millis serverUseLifetime { 700 }; // a host's report that a server has answered is valid for so long
};

FleetTiming fleetTiming(size_t hosts);

// Whether each host may watch the entries of all servers at the store, while no coordinator relays them. Each entry is
// written once per heartbeat and sent to each host that watches, so the load of the store's link grows with hosts times
// servers. Once the link is full, all calls are late, and every host that falls behind reads everything again.
bool storeCarriesAllWatches(size_t hosts, size_t servers);

// How many hosts beside the standbys answer hosts that await a coordinator. They watch the entries of all servers while
// they are asked, so there are no more than the store's link carries.
size_t answeringHosts(size_t hosts, size_t servers);

// Whether a host that knew all changes this long ago should ask for those since then, instead of reading everything.
// The history has each entry once per heartbeat, and comes in one answer, whereas a read has one for each page.
bool historyIsCheaperThanRead(Millis since);

}
