// Decides when a host reads the entries of all servers from the store.
//
// Load pattern: all hosts of a fleet start, or lose what told them of changes, at the same moment, and each needs the
// entries of all servers. Read by each host they grow with hosts times servers, and on a link that is shared evenly no
// read ends within its time limit. So a host reads at once only what all hosts together may. With more entries it
// awaits the copy that the coordinator, which reads all of them, sends to the others; and if none comes, it reads in a
// turn of its own.
#pragma once

#include "base/Time.h"

#include <cstddef>

namespace cumindale {

// Whether the store's link carries the entries to all hosts at once.
bool storeCarriesAllReads(size_t hosts, size_t servers);

// Entries that a host reads at its start before it awaits the coordinator's copy. `hosts`: in the list that the last
// coordinator left; 0: there is none.
size_t entriesReadAtStart(size_t hosts);

// Time that a host waits for a copy before it reads all entries itself. `phase`: place of the host among all, from 0 to
// 1; the turns of all hosts together leave most of the store's link to other calls.
Millis turnToRead(size_t hosts, size_t servers, double phase);

}
