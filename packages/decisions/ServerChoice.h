// Chooses the server for a request to a service without keys.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

namespace cumindale {

struct ServerCandidate {
    bool usable = true; // not leaving, and not tried yet for this request
    bool resting = false; // failed recently; chosen only if all usable candidates have
    bool sameDataCentre = true;
    unsigned busy = 0; // requests of this host at the server
    unsigned waiting = 0; // requests of this host that wait for the server
    unsigned limit = 1; // requests that this host may have at the server
    double workMillis = 0; // mean time of one request at the server
    bool connected = true; // this host has a connection to the server that can take the request
};

// Returns the candidate with the shortest expected time to an answer, as seen by this host; nothing if none is usable.
// The time of a server in another data centre is multiplied by `remoteFactor`, because traffic to it costs more.
// Servers to which this host has a connection come first among nearly equal ones: a new connection costs the server a
// handshake and a place, and hosts that choose among all servers alike would use hardly any connection twice. `random`
// breaks ties, so that hosts don't all pick the same server.
std::optional<size_t> chooseServer(std::span<const ServerCandidate>, uint64_t random, double remoteFactor = 1.3);

}
