// A small world for GrantPlan and LeadershipRules: hosts that may coordinate, a store, servers that enforce grants.
//
// Faults come at random from a seed: hosts are paused, killed and cut off from the store, from each other and from
// servers; servers crash, are cut off and start again under their names, at once or later, seen by hosts or not; the
// store is down, with leases that lapse or pause; its answers are lost; orders are lost, answered late or never, or
// carried out seconds after they arrived.
#pragma once

#include "decisions/GrantPlan.h"
#include "decisions/LeadershipRules.h"

#include <cstdint>
#include <string>

namespace grants {

// Each taken out must lead to two holders at once in some history.
struct Guards {
    bool waitForLeaseExpiry = true; // a server that can't be asked keeps its keys for a hold
    bool writeBeforeOrders = true; // the table is in the store before it is acted on
    bool requireMajorityWithoutStore = true; // without the store's word a coordinator needs half of the hosts
    bool waitForPreviousCoordinator = true; // a new coordinator waits for a former one at servers that it can't reach
    bool waitForUnanswered = true; // an order without an answer may be carried out late
    bool newFenceOnNewConnection = true; // behind it another incarnation of the server may answer
};

struct Outcome {
    size_t twoHolders = 0; // moments with two servers up that hold the same key
    size_t staleFences
        = 0; // keys taken with a fence that an earlier incarnation of the server had them with, or a higher one
    size_t serverRestarts = 0;
    size_t grantsTaken = 0;
    size_t moves = 0;
    size_t terms = 0;
    double heldShare = 0; // of the keys' time, while the world was calm at the end
};

// How servers that crashed come back.
enum class Restart : uint8_t {
    NewName, // as a new server
    SameName, // under the name that they had, at the same address; the store tells of it at once or seconds later
};

Outcome runHistory(uint64_t seed, const Guards&, Restart = Restart::NewName);

}
