// Messages between the control thread and the routing thread, passed through two bounded ring buffers.
#pragma once

#include "base/Time.h"
#include "decisions/HotKeys.h"
#include "decisions/Resources.h"
#include "decisions/Roster.h"
#include "decisions/SliceTable.h"
#include "decisions/StopGate.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cumindale {

// End of the routing lease for one table version: the time until which the router may dispatch by it.
struct LeaseValidity {
    std::string service;
    uint64_t tableVersion = 0; // the lease applies to this version only
    Instant validUntil;
};

// From the control thread to the router. Empty members leave the current value unchanged.
struct RoutingUpdate {
    // For each backend server that this host can't reach: the hosts that can. Replaces the previous map.
    std::optional<std::map<std::string, std::vector<Member>>> relays;
    std::shared_ptr<const Resources> resources;
    std::shared_ptr<const Roster> roster;
    std::shared_ptr<const SliceTable> table;
    std::vector<LeaseValidity> leases;
};

// Load of one service since the last load report.
struct ServiceLoad {
    uint64_t tableVersion = 0;
    std::map<size_t, uint64_t> busyMicros; // server time by slice index of `tableVersion`; idle slices are omitted
    std::vector<HeavyKey> hotKeys; // ordered by guaranteed weight, heaviest first
    Millis period { 0 }; // length of the measurement
};

// From the router to the control thread: one snapshot of the routing thread.
struct RoutingReport {
    int64_t resourcesRevision = 0; // store revision of the configuration in force
    std::map<std::string, uint64_t, std::less<>> adoptedTables; // table version used for dispatch, by service
    std::vector<BusySlice> busy; // stopping slices with dispatches in flight
    std::map<std::string, Reachability, std::less<>> sights; // health observations, by backend server
    std::map<std::string, ServiceLoad> loads; // by service; set only when a load report is due
};

}
