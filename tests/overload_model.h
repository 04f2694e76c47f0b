// Simulates many hosts that send requests to one server, with the decision code of the gateway hosts and of the
// coordinator: limits, queues, shares and broadcasts.
//
// Time advances in steps of 1 ms. The server processes as many requests as it has slots and queues a few more. Requests
// beyond that hang until their deadline or are reset immediately.
#pragma once

#include "base/Time.h"

#include <cstddef>

namespace cumindale {

enum class LimitPolicy {
    Fixed, // each host may send 1.5 times the slots, regardless of the other hosts
    Shares, // as in production
};

enum class WhenFull { Hangs, Resets };

struct OverloadScenario {
    size_t hosts = 95;
    unsigned slots = 4;
    unsigned queue = 16;
    Millis work { 300 }; // mean; a request takes 0.5 to 1.5 times as long
    double requestsPerSecond = 130; // of all hosts together, at random times
    double initialRequestsPerSecond = 0; // during the first two seconds
    double skew = 1; // 1: hosts get requests equally often; higher: some hosts get many more
    Millis target { 1'200 };
    Millis deadline { 3'000 };
    Millis length { 12'000 };
    WhenFull whenFull = WhenFull::Hangs;
    unsigned seed = 1;
};

struct OverloadResult {
    size_t requests = 0;
    size_t sends = 0;
    size_t overflowed = 0; // hung or reset
    size_t maxAtServer = 0; // in progress or queued at the server, including the overflow
    size_t served = 0;
    size_t inTarget = 0;
    size_t refused = 0; // by a host, before sending
    double meanRefusalMillis = 0; // from arrival to refusal
    double busy = 0; // fraction of the slots in use, from one second after the full load begins
};

OverloadResult simulateOverload(const OverloadScenario&, LimitPolicy);

}
