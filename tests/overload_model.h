// A model of many hosts that send to one server, by the decisions that a gateway host and the coordinator use: limits,
// queues, shares and what is told to all.
//
// Time goes in steps of a millisecond. The server works on as many requests as it has slots and queues a few more;
// what comes beyond that hangs until its deadline, or is reset at once.
#pragma once

#include "base/Time.h"

#include <cstddef>

namespace cumindale {

enum class LimitPolicy {
    Fixed, // each host may have one and a half times the slots, whatever the others do
    Shares, // as the product decides
};

enum class WhenFull { Hangs, Resets };

struct OverloadScenario {
    size_t hosts = 95;
    unsigned slots = 4;
    unsigned queue = 16;
    Millis work { 300 }; // mean; each takes half to one and a half times as long
    double requestsPerSecond = 130; // by all hosts together, at random moments
    double initialRequestsPerSecond = 0; // in the first two seconds
    double skew = 1; // 1: a request comes to each host alike; more: to some much more often
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
    size_t maxAtServer = 0; // at work or queued there, the overflow included
    size_t served = 0;
    size_t inTarget = 0;
    size_t refused = 0; // by a host, before a send
    double meanRefusalMillis = 0; // mean time until a refusal
    double busy = 0; // part of the slots at work, after the first second of the load
};

OverloadResult simulateOverload(const OverloadScenario&, LimitPolicy);

}
