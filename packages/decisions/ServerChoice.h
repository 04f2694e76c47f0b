// Which server of a service without keys gets a request.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

namespace cumindale {

struct ServerCandidate {
    bool usable = true; // not leaving, not tried yet for this request
    bool resting = false; // failed lately; gets work only if all others do, too
    bool sameDataCentre = true;
    unsigned busy = 0; // requests of this host there
    unsigned waiting = 0; // requests of this host that wait for it
    unsigned limit = 1; // requests that this host may have there
    double workMillis = 0; // mean time of one request there
};

// The one with the shortest time to an answer, by what this host sees; a server in another data centre counts as
// `farFactor` slower, as its bytes cost more. `random` breaks ties, so that hosts don't all pick the same one.
std::optional<size_t> chooseServer(std::span<const ServerCandidate>, uint64_t random, double remoteFactor = 1.3);

}
