// From the generated wire types to ours and back.
#pragma once

#include "decisions/RoutingLease.h"
#include "decisions/StopGate.h"
#include <peers_types.h>

namespace cumindale {

// All that a host says of itself in a beat.
struct PeerState {
    KnownVersions known;
    int64_t resourcesKnown = 0;
    HostReport report; // its age is as of when the state was made

    bool sameAs(const PeerState&) const; // but for the age
};

wire::HostState toWire(const PeerState&);
PeerState fromWire(const wire::HostState&);

}
