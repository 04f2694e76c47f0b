// Plans which server should own which slice. Pure functions: the same input gives the same plan on every host.
//
// Goals in order of priority: constraints are met (no leaving or lost server, pins kept), every slice has an owner if
// any server is allowed for it, the load relative to slots is even, and few slices move (within a churn budget).
//
// Load is milliseconds of work a second, as measured by the hosts. Until there are measurements, all slices have the
// same weight.
#pragma once

#include "base/Time.h"
#include "decisions/Resources.h"
#include "decisions/SliceTable.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

// A server as input to the planner.
struct PlacementServer {
    std::string name;
    std::string dataCentre;
    unsigned slots = 1;
    double warmFraction = 1; // 0..1, fraction of its slots that can be used during warm-up
    bool usable = true; // live, and neither leaving nor lost
};

// A placement rule, with its keys resolved to points.
struct PlacementConstraint {
    PlacementRule rule = PlacementRule::Prefer;
    bool wholeService = false;
    std::vector<uint64_t> points; // of single keys, sorted; each gets a slice of its own
    std::vector<std::string> servers;
    std::vector<std::string> dataCentres;
};

// A key with enough load for a slice of its own.
struct HotKey {
    uint64_t point = 0;
    double load = 0;
};

struct PlacementOptions {
    unsigned initialSlicesPerServer = 16; // in a new table; merging keeps at least this many
    double tolerance = 0.20; // servers within mean * (1 + tolerance) are left alone
    double churnBudget = 0.02; // maximum fraction of the total load that one plan moves for balance
    size_t maxSlices = 40'000; // no splits for hot keys beyond this
};

struct PlacementInput {
    std::vector<PlacementServer> servers; // sorted by name
    std::vector<double> sliceLoad; // parallel to the table's slices; empty if not known
    std::vector<HotKey> hotKeys; // hottest first
    std::vector<PlacementConstraint> constraints;
};

// Splits for hot keys and constraints: cuts the working table so that each such key has a slice of its own, and
// divides the loads accordingly. Returns the number of slices added.
size_t splitForPlan(SliceTable&, PlacementInput&, const PlacementOptions&);

// Merges light adjacent slices with the same owner unless their boundary belongs to a hot key or a constraint, down to
// the initial number of slices. Without merging, a changing set of hot keys would use up all slices. The merged slice
// takes the higher of the two fencing tokens. At worst its own server rejects work with the lower one, and that work
// certainly did not run. Returns the number of slices removed.
size_t mergeForPlan(SliceTable&, PlacementInput&, const PlacementOptions&);

// The first table of a service: equal slices without owners, which planMoves() then assigns.
SliceTable initialTable(std::string_view service, const PlacementInput&, const PlacementOptions&);

struct Move {
    size_t slice = 0;
    ServerIndex to = noServer; // index into PlacementInput::servers; noServer if no server is allowed
};

// Moves that should start now. A slice that is Stopping is listed only if its successor is no longer allowed.
std::vector<Move> planMoves(const SliceTable&, const PlacementInput&, const PlacementOptions&);

// Ratio of the most loaded server's load per slot to the mean. Weighting over time is up to the caller.
double imbalanceOf(const SliceTable&, const PlacementInput&);

}
