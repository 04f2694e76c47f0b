// Decides when a host reads the entries of all servers from the store.
//
// Load pattern: all hosts of a fleet start, or lose what told them of changes, at the same moment, and each needs the
// entries of all servers. Read by each host they grow with hosts times servers, and on a link that is shared evenly no
// read ends within its time limit. So hosts read them at once only if the link carries the reads of all of them. Else a
// host awaits the copy that the coordinator, which reads all entries, sends to the others; and if none comes, it reads
// in a turn of its own.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <optional>

namespace cumindale {

struct FleetSize {
    size_t hosts = 0;
    size_t servers = 0;
};

// Whether the store's link carries the entries to all hosts at once.
bool storeCarriesAllReads(const FleetSize&);

// Entries that a host reads at its start before it awaits the coordinator's copy. `known`: the size of the fleet that
// the last coordinator has left in the store; no value: it left none.
size_t entriesReadAtStart(const std::optional<FleetSize>& known);

// What a coordinator should leave in the store in place of `stored`; no value: nothing new. A coordinator that has been
// elected a moment ago, or that only a part of the fleet reaches, has heard of fewer hosts than there are, so that the
// number of hosts is lowered only after a long term.
std::optional<FleetSize> fleetSizeToStore(
    const std::optional<FleetSize>& stored, const FleetSize& seen, Millis sinceElection);

// Time that a host waits for a copy before it reads all entries itself. `phase`: place of the host among all, from 0 to
// 1; the turns of all hosts together leave most of the store's link to other calls.
Millis turnToRead(const FleetSize&, double phase);

}
