// The assigner's decisions for one service: the next version of its table, if one is due.
//
// One instance of the system at a time runs it, elected through the store. It keeps only what can be lost: the
// gates of stopping slices. A new assigner reads the table from the store and starts the waits anew.
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
    Millis rebalanceInterval { 5000 }; // between two looks at evenness; losses and drains are acted on at once
};

// What it decides from.
struct ServiceView {
    const ServiceResource* service = nullptr;
    PlacementInput placement;
    bool allHostsAnswer = true; // every host answers: a move started now won't have to wait one out
};

class ServiceAssigner {
public:
    explicit ServiceAssigner(AssignerOptions);

    // The table to commit next, with version + 1, or nothing. Commit it with a compare on the leader key and
    // on `current`; then call again with what was committed.
    std::optional<SliceTable> next(
        const SliceTable& current, ServiceView, const Roster&, const HostReports&, Instant now);

private:
    void observeGates(const SliceTable&, const Roster&, const HostReports&, Instant now);
    bool updateWorkLimit(
        SliceTable&, const SliceTable& current, const ServiceView&, const Roster&, const HostReports&, Instant now);
    bool finishStops(SliceTable&, Instant now) const;
    bool applyMoves(SliceTable&, const ServiceView&, bool rebalance);

    AssignerOptions m_options;
    std::map<uint64_t, StopGate> m_gates; // by the slice's begin
    std::optional<StopGate> m_loweredLimitGate; // waits until dispatches under a former, higher limit are over
    std::optional<Instant> m_lastRebalance;
};

// Roster changes, one member a commit. Nothing while the former change is still being acknowledged.
struct RosterView {
    std::vector<Member> live; // from the platform's list, answering beats and ready to route
    std::set<std::string>
        hostsToRemove; // names that the platform no longer shows for longer than its lag, or that left
    Millis longestWork { 1000 }; // over all services: the highest inFlightWorkLimit of their tables
};

class RosterAssigner {
public:
    explicit RosterAssigner(GateOptions);
    std::optional<Roster> next(const Roster& current, const RosterView&, const HostReports&, Instant now);

private:
    bool changeIsAcknowledged(const Roster&, const RosterView&, const HostReports&, Instant now);

    GateOptions m_options;
    uint64_t m_version = 0; // the version that the two below speak of
    std::optional<Instant> m_majorityReachedAt;
};

}
