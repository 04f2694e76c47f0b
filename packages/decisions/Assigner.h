// Computes the next version of a service's slice table and of the roster.
//
// The assigner runs on one host at a time, the leader elected through the store. Its only state is soft: the gates of
// stopping slices and of a lowered work limit. A new leader reads the table from the store and restarts these waits.
#pragma once

#include "decisions/Placement.h"
#include "decisions/Roster.h"
#include "decisions/StopGate.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace cumindale {

struct AssignerOptions {
    GateOptions gate;
    PlacementOptions placement;
    Millis rebalanceInterval { 5000 }; // lost and draining servers are handled at once
};

// Input of one assigner step for a service.
struct ServiceView {
    const ServiceResource* service = nullptr;
    PlacementInput placement;
    bool allHostsAnswer = true; // if false, moves would have to wait for condition (b) of StopGate
};

class ServiceAssigner {
public:
    explicit ServiceAssigner(AssignerOptions);

    // Returns the table to commit next, with version + 1, or nothing if no change is due. The caller commits the table
    // in a transaction that compares the leader key and `current`, then calls again with the committed table.
    std::optional<SliceTable> next(
        const SliceTable& current, ServiceView, const Roster&, const HostReports&, Instant now);

private:
    void observeGates(const SliceTable&, const Roster&, const HostReports&, Instant now);
    bool updateWorkLimit(
        SliceTable&, const SliceTable& current, const ServiceView&, const Roster&, const HostReports&, Instant now);
    bool finishStops(SliceTable&, Instant now) const;
    bool applyMoves(SliceTable&, const ServiceView&, bool rebalance);

    AssignerOptions m_options;
    std::map<uint64_t, StopGate> m_gates; // stopping slices by Slice::begin
    std::optional<StopGate> m_loweredLimitGate; // waits for dispatches made under a higher work limit
    std::optional<Instant> m_lastRebalance;
};

// Input of one assigner step for the roster.
struct RosterView {
    std::vector<Member> live; // hosts on the platform's list that answer heartbeats and are ready to route
    // Names of hosts that left, or that have been missing from the platform's list for longer than its lag.
    std::set<std::string> hostsToRemove;
    Millis longestWork { 1000 }; // the highest inFlightWorkLimit of all services' tables
};

// Changes the roster by one member per commit. Returns nothing until the previous change is acknowledged.
class RosterAssigner {
public:
    explicit RosterAssigner(GateOptions);
    std::optional<Roster> next(const Roster& current, const RosterView&, const HostReports&, Instant now);

private:
    bool changeIsAcknowledged(const Roster&, const RosterView&, const HostReports&, Instant now);

    GateOptions m_options;
    uint64_t m_version = 0; // roster version that m_majorityReachedAt refers to
    std::optional<Instant> m_majorityReachedAt; // when a majority had acknowledged m_version
};

}
