// What the control duty and the routing duty say to each other, over two bounded rings.
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

// Until when the routing duty may dispatch by one version of a table.
struct LeaseValidity {
    std::string service;
    uint64_t tableVersion = 0; // it speaks of no other
    Instant validUntil;
};

// Control to routing. Empty members mean "as before".
struct RoutingUpdate {
    // For each server that this host can't reach: the hosts that can. Replaces the former list.
    std::optional<std::map<std::string, std::vector<Member>>> relays;
    std::shared_ptr<const Resources> resources;
    std::shared_ptr<const Roster> roster;
    std::shared_ptr<const SliceTable> table;
    std::vector<LeaseValidity> leases;
};

// Load of one service since the last report.
struct ServiceLoad {
    uint64_t tableVersion = 0;
    std::map<size_t, uint64_t> busyMicros; // by slice index of that version; idle ones left out
    std::vector<HeavyKey> hotKeys; // heaviest first
    Millis period { 0 }; // the time that it was measured over
};

// Routing to control: one snapshot of the dispatching thread.
struct RoutingReport {
    int64_t resourcesRevision = 0;
    std::map<std::string, uint64_t, std::less<>> adoptedTables;
    std::vector<BusySlice> busy;
    std::map<std::string, Reachability, std::less<>> sights;
    std::map<std::string, ServiceLoad> loads; // empty in most reports
};

}
