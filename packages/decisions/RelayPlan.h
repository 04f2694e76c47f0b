// Which hosts pass the coordinator's news on to which others.
//
// The load that it answers: some hundred hosts and a large document, several times a second. Sent to each host by the
// coordinator, its own link carries the document once for every host, and most of these copies cross data centres. So
// the hosts of a data centre are cut into groups; one host of each gets the news and passes them on. A relay that falls
// silent is found out by its next message, and its group told directly until the groups are planned anew.
#pragma once

#include "base/Time.h"

#include <span>
#include <string>
#include <vector>

namespace cumindale {

struct RelayOptions {
    // Members of one group, the relay included: about the root of the hosts of today's largest deployment, so that the
    // coordinator sends about as many copies as a relay does.
    size_t maxGroupSize = 12;
    size_t minGroupSize = 4; // fewer than that are told directly: a relay would save little and can be lost
};

struct RelayCandidate {
    std::string name;
    std::string dataCentre;
    double strength = 0; // cores
    bool mayRelay = true; // false: it failed to lately
};

struct RelayGroup {
    std::string relay;
    std::vector<std::string> members; // without the relay
};

// Each candidate is in one group, as relay or as member; a group never spans data centres. The strongest hosts relay,
// among equals the first by name.
std::vector<RelayGroup> planRelays(std::span<const RelayCandidate>, const RelayOptions& = {});

// How long a message of so many bytes may take to its receiver. Given up sooner, a large document never reaches a host
// behind a small link: each try is cut in its midst, and the host reads the store as well.
Millis deliveryTimeout(size_t bytes);

}
