// Plans which hosts relay the coordinator's updates to which other hosts.
//
// Load pattern: some hundred hosts and a large document, several times a second. If the coordinator sent every update
// to every host itself, its own link would carry the document once per host, and most of these copies would cross data
// centres. So the hosts of each data centre are divided into groups. One host of each group, the relay, receives the
// updates and forwards them to the others. A relay that stops responding is detected at the next message to it; its
// group then receives updates directly until the groups are planned again.
#pragma once

#include "base/Time.h"

#include <span>
#include <string>
#include <vector>

namespace cumindale {

struct RelayOptions {
    // Members of one group, including the relay. About the square root of the number of hosts in the largest
    // deployment, so that the coordinator sends about as many copies as a relay does.
    size_t maxGroupSize = 12;
    // A data centre with fewer hosts receives updates directly: a relay would save little, and can fail.
    size_t minGroupSize = 4;
};

struct RelayCandidate {
    std::string name;
    std::string dataCentre;
    double strength = 0; // cores
    bool mayRelay = true; // false: failed as a relay recently
};

struct RelayGroup {
    std::string relay;
    std::vector<std::string> members; // without the relay
};

// Each candidate is in exactly one group, as relay or as member; a group never spans data centres. The strongest hosts
// become relays; ties are broken by name.
std::vector<RelayGroup> planRelays(std::span<const RelayCandidate>, const RelayOptions& = {});

// Timeout for delivering a message of this size to one receiver. With a shorter timeout, a large document would never
// reach a host behind a small link: each attempt would be aborted midway, and the host would read the store as well.
// `copies`: messages of this size that the sender's link carries at the same time.
Millis deliveryTimeout(size_t bytes, size_t copies = 1);
// The same for a coordinator that sends this many copies. Its own link is larger than the relays', but carries all of
// them: with the timeout of one copy it would take all relays for lost, and send a copy to each host.
Millis fanoutTimeout(size_t bytes, size_t copies);

// Changes in one message, unless a single one is larger. The operators' document waits until the message in flight has
// been sent, so this is what the document may wait for: a relay behind the smallest link sends so much to its whole
// group in a third of a second.
constexpr size_t maxNewsBytes = 32'768;

}
