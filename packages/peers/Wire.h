// Conversion between the generated wire types and the project's own types.
#pragma once

#include "decisions/RoutingLease.h"
#include "decisions/StopGate.h"
#include <peers_types.h>

namespace cumindale {

// State of a host as it reports it in a heartbeat.
struct PeerState {
    KnownVersions known;
    int64_t knownResourcesRevision = 0;
    HostReport report; // its age is relative to the creation of this state

    bool equalsIgnoringAge(const PeerState&) const; // ignores the age of the report
};

wire::HostState toWire(const PeerState&);
PeerState fromWire(const wire::HostState&);

}
