#include "decisions/ServerHealth.h"

#include <doctest/doctest.h>

using namespace cumindale;

namespace {

constexpr Instant now = instantFromMillis(1000);

Roster hostsIn(std::vector<std::string> centres)
{
    Roster roster;
    roster.version = 1;
    for (size_t i = 0; i < centres.size(); ++i)
        roster.members.push_back({ "host-" + std::to_string(i), centres[i], "127.0.0.1", 1, 2, 3 });
    return roster;
}

}

TEST_CASE("the first missed probe holds new work back, the second makes the server silent")
{
    // A user would wait for more than 2 s after a freeze: hosts went on sending until the second missed probe,
    // and the keys could move only when the deadline of the last such request had passed.
    ServerWatch watch({});
    watch.answered(now);
    CHECK(watch.takesWork());
    watch.probeMissed(now);
    CHECK_FALSE(watch.takesWork());
    CHECK(watch.sight() == Sight::Reachable);
    watch.probeMissed(now);
    CHECK(watch.sight() == Sight::Silent);
    watch.answered(now);
    CHECK(watch.takesWork());
}

TEST_CASE("one host that can't reach a server moves nothing; hosts of two data centres do")
{
    const Roster roster = hostsIn({ "dc-1", "dc-1", "dc-2" });
    CHECK_FALSE(isLost(
        roster, { { "host-0", Sight::Silent }, { "host-1", Sight::Reachable }, { "host-2", Sight::Reachable } }));
    CHECK_FALSE(
        isLost(roster, { { "host-0", Sight::Silent }, { "host-1", Sight::Silent }, { "host-2", Sight::Reachable } }));
    CHECK(
        isLost(roster, { { "host-0", Sight::Silent }, { "host-1", Sight::Reachable }, { "host-2", Sight::Refused } }));
    CHECK_FALSE(isLost(roster, { { "host-0", Sight::Silent }, { "stranger", Sight::Silent } }));
    CHECK_FALSE(isLost(roster, {}));
}
