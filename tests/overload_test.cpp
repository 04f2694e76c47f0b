// Overload of one server by a hot key that many hosts request.
#include "overload_model.h"

#include <doctest/doctest.h>

using namespace cumindale;

namespace {

constexpr unsigned seeds = 8;

// Results of all seeds: sums, unless noted otherwise.
struct Totals {
    size_t requests = 0;
    size_t sends = 0;
    size_t overflowed = 0;
    size_t maxAtServer = 0;
    size_t served = 0;
    size_t inTarget = 0;
    double busy = 0; // mean
    double meanRefusalMillis = 0; // mean
};

Totals runSeeds(OverloadScenario scenario, LimitPolicy policy)
{
    Totals totals;
    for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed) {
        const OverloadResult result = simulateOverload(scenario, policy);
        totals.requests += result.requests;
        totals.sends += result.sends;
        totals.overflowed += result.overflowed;
        totals.maxAtServer = std::max(totals.maxAtServer, result.maxAtServer);
        totals.served += result.served;
        totals.inTarget += result.inTarget;
        totals.busy += result.busy / seeds;
        totals.meanRefusalMillis += result.meanRefusalMillis / seeds;
    }
    return totals;
}

}

// Guards against hosts that overflow the server of a hot key: 95 hosts with a limit of six requests each send to a
// server with four slots and a queue of 16. For seconds, nearly all requests for the key come late, hang until their
// deadline or are reset, and it is unknown whether they ran.
TEST_CASE("a hot key requested by 95 hosts keeps its server busy without overflowing it")
{
    const OverloadScenario scenario;
    const Totals fixed = runSeeds(scenario, LimitPolicy::Fixed);
    const Totals shared = runSeeds(scenario, LimitPolicy::Shares);
    MESSAGE("overflowed: " << shared.overflowed << " of " << shared.sends << " sends, with fixed limits "
                           << fixed.overflowed << " of " << fixed.sends);
    MESSAGE("in target: " << shared.inTarget << ", with fixed limits " << fixed.inTarget << "; busy " << shared.busy
                          << ", refused after " << shared.meanRefusalMillis << " ms");
    CHECK(shared.overflowed * 100 <= shared.sends); // 1%
    CHECK(shared.busy >= 0.95);
    CHECK(shared.inTarget > 4 * fixed.inTarget);
    CHECK(shared.meanRefusalMillis < 1'000); // of 3,000 ms: leaves time to retry
}

TEST_CASE("once hosts know that a server is overloaded, its queue never overflows")
{
    OverloadScenario scenario;
    scenario.initialRequestsPerSecond = scenario.requestsPerSecond;
    scenario.whenFull = WhenFull::Resets;
    scenario.length = Millis(20'000);
    for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed) {
        const OverloadResult whole = simulateOverload(scenario, LimitPolicy::Shares);
        OverloadScenario onset = scenario;
        onset.length = Millis(1'000);
        const OverloadResult first = simulateOverload(onset, LimitPolicy::Shares);
        CHECK(whole.overflowed == first.overflowed);
    }
}

TEST_CASE("below the server's capacity no requests are refused because of a presumed overload")
{
    OverloadScenario scenario;
    scenario.requestsPerSecond = scenario.initialRequestsPerSecond = 8; // of a capacity of 13.3
    const Totals shared = runSeeds(scenario, LimitPolicy::Shares);
    CHECK(shared.served * 100 >= shared.requests * 95); // the last ones are still in progress
    CHECK(shared.overflowed == 0);
    CHECK(shared.inTarget * 100 >= shared.served * 99);
}

TEST_CASE("at one and a half times the server's capacity hardly any slot is idle")
{
    OverloadScenario scenario;
    scenario.requestsPerSecond = scenario.initialRequestsPerSecond = 20;
    const Totals shared = runSeeds(scenario, LimitPolicy::Shares);
    const Totals fixed = runSeeds(scenario, LimitPolicy::Fixed);
    CHECK(shared.busy >= 0.95);
    CHECK(shared.overflowed == 0);
    CHECK(shared.inTarget > fixed.inTarget);
}

// Until a host gets its share, it may send more than its part of the server's queue, so the first second overflows.
TEST_CASE("a few hosts share a server by spacing their requests")
{
    OverloadScenario scenario;
    scenario.hosts = 10;
    scenario.work = Millis(130);
    scenario.target = Millis(400);
    scenario.deadline = Millis(1'000);
    scenario.requestsPerSecond = 300;
    const Totals shared = runSeeds(scenario, LimitPolicy::Shares);
    const Totals fixed = runSeeds(scenario, LimitPolicy::Fixed);
    CHECK(shared.busy >= 0.95);
    CHECK(shared.inTarget > 4 * fixed.inTarget);
}
