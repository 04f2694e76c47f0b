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

TEST_CASE("the first missed probe stops new work, the second makes the server unresponsive")
{
    // Guards against waits of more than 2 s after a server froze: hosts kept sending until the second missed probe, and
    // the keys could move only after the deadline of the last such request.
    ServerMonitor watch({});
    watch.answered(now);
    CHECK(watch.acceptsNewWork());
    watch.probeMissed(now);
    CHECK_FALSE(watch.acceptsNewWork());
    CHECK(watch.reachability() == Reachability::Reachable);
    watch.probeMissed(now);
    CHECK(watch.reachability() == Reachability::Unresponsive);
    watch.answered(now);
    CHECK(watch.acceptsNewWork());
}

TEST_CASE("a server is lost only if hosts of two data centres can't reach it")
{
    const Roster roster = hostsIn({ "dc-1", "dc-1", "dc-2" });
    CHECK_FALSE(isServerLost(roster,
        { { "host-0", Reachability::Unresponsive }, { "host-1", Reachability::Reachable },
            { "host-2", Reachability::Reachable } }));
    CHECK_FALSE(isServerLost(roster,
        { { "host-0", Reachability::Unresponsive }, { "host-1", Reachability::Unresponsive },
            { "host-2", Reachability::Reachable } }));
    CHECK(isServerLost(roster,
        { { "host-0", Reachability::Unresponsive }, { "host-1", Reachability::Reachable },
            { "host-2", Reachability::Refused } }));
    CHECK_FALSE(
        isServerLost(roster, { { "host-0", Reachability::Unresponsive }, { "stranger", Reachability::Unresponsive } }));
    CHECK_FALSE(isServerLost(roster, {}));
}
