// Which server should own which slice. Pure: the same input gives the same plan on every host.
//
// In order: legal (never a leaving or lost server, pins kept), served (every slice has an owner if any server
// is legal for it), even (load over slots), little churn (few moves, within a budget).
//
// Load is slot time: milliseconds of work a second, as the hosts measured it. Before there is any, all slices
// weigh the same.
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

// A server as the planner sees it.
struct PlacementServer {
    std::string name;
    std::string dataCentre;
    unsigned slots = 1;
    double warmFraction = 1; // 0..1, share of its slots that a cold server may use yet
    bool usable = true; // live, and neither leaving nor lost
};

// A placement wish, resolved to points.
struct PlacementConstraint {
    PlacementRule rule = PlacementRule::Prefer;
    bool wholeService = false;
    std::vector<uint64_t> points; // of single keys, sorted; each gets a slice of its own
    std::vector<std::string> servers;
    std::vector<std::string> dataCentres;
};

// A key that is hot by itself.
struct HotKey {
    uint64_t point = 0;
    double load = 0;
};

struct PlacementOptions {
    unsigned initialSlicesPerServer = 16; // at the start, and the least kept by merging
    double tolerance = 0.20; // servers within mean * (1 + tolerance) are left alone
    double churnBudget = 0.02; // most share of all load that one plan moves to make it even
    size_t maxSlices = 40'000; // no splits beyond
};

struct PlacementInput {
    std::vector<PlacementServer> servers; // sorted by name
    std::vector<double> sliceLoad; // beside the table's slices; empty if not known
    std::vector<HotKey> hotKeys; // hottest first
    std::vector<PlacementConstraint> constraints;
};

// Splits for hot keys and wishes: cuts the working table so that each such key has a slice of its own. Loads
// are divided with it. Returns how many slices it added.
size_t splitForPlan(SliceTable&, PlacementInput&, const PlacementOptions&);

// Joins neighbours of one owner that are light and were cut for a key that is no longer hot or wished for, while
// more slices remain than at the start. Without it a hot set that changes would use up all slices. The joined
// slice has the higher fence of the two: work under the lower one is refused by its own server at worst, and
// then surely not run. Returns how many slices went away.
size_t mergeForPlan(SliceTable&, PlacementInput&, const PlacementOptions&);

// The table of a service that has none: equal slices, dealt out by slots.
SliceTable initialTable(std::string_view service, const PlacementInput&, const PlacementOptions&);

struct Move {
    size_t slice = 0;
    ServerIndex to = noServer; // into PlacementInput::servers; noServer: no server is legal
};

// Moves that should start now. A slice that is Stopping is listed only if its successor is no longer legal.
std::vector<Move> planMoves(const SliceTable&, const PlacementInput&, const PlacementOptions&);

// Time-weighting is the caller's: the most loaded server's load over its slots, over the mean.
double imbalanceOf(const SliceTable&, const PlacementInput&);

}
