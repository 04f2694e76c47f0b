// The choice among servers without keys by the connections that a host has.
#include "decisions/ServerChoice.h"

#include <doctest/doctest.h>
#include <vector>

using namespace cumindale;

// Guards against a new connection for nearly each request: hosts that choose among many servers alike come back to one
// only after its connection has timed out.
TEST_CASE("among nearly equal servers one with a connection is chosen, and a clearly better one all the same")
{
    std::vector<ServerCandidate> candidates(3);
    for (auto& candidate : candidates) {
        candidate.workMillis = 100;
        candidate.connected = false;
    }
    candidates[2].connected = true;
    candidates[2].workMillis = 110;
    for (uint64_t random = 0; random < 3; ++random)
        CHECK(chooseServer(candidates, random) == 2);
    candidates[2].busy = 1;
    CHECK(chooseServer(candidates, 0) != 2);
}
