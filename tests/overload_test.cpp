// Many hosts and one key that asks for more than its server can do.
#include "overload_model.h"

#include <doctest/doctest.h>

using namespace cumindale;

namespace {

constexpr unsigned seeds = 8;

// Sums over seeds.
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

// What users saw: for seconds nearly every request for one key came late, hung to its deadline or ended with a reset,
// and nobody could say whether it had run. A key became hot: 95 hosts sent six requests each to a server with four
// slots and sixteen places in its queue, and went on sending where the others' requests hung.
TEST_CASE("a hot key of 95 hosts keeps its server busy and doesn't overflow it")
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
    CHECK(shared.meanRefusalMillis < 1'000); // of 3,000: time to come back
}

TEST_CASE("once hosts know of a crowd there is never more at its server than it takes")
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

TEST_CASE("below what the server can do nothing is refused for a crowd that isn't one")
{
    OverloadScenario scenario;
    scenario.requestsPerSecond = scenario.initialRequestsPerSecond = 8; // of 13.3
    const Totals shared = runSeeds(scenario, LimitPolicy::Shares);
    CHECK(shared.served * 100 >= shared.requests * 95); // the last ones are still under way
    CHECK(shared.overflowed == 0);
    CHECK(shared.inTarget * 100 >= shared.served * 99);
}

TEST_CASE("with half as much again as the server can do hardly a slot is idle")
{
    OverloadScenario scenario;
    scenario.requestsPerSecond = scenario.initialRequestsPerSecond = 20;
    const Totals shared = runSeeds(scenario, LimitPolicy::Shares);
    const Totals fixed = runSeeds(scenario, LimitPolicy::Fixed);
    CHECK(shared.busy >= 0.95);
    CHECK(shared.overflowed == 0);
    CHECK(shared.inTarget > fixed.inTarget);
}

// Each may have more there than its part of the queue until it is told a share: the first second overflows.
TEST_CASE("a few hosts share a server by pauses")
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
