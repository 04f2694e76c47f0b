// Decisions about a host that reaches some of the servers through other hosts only.
#include "decisions/ServerPaths.h"
#include "decisions/ServerReach.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <vector>

using namespace cumindale;

namespace {

Instant at(int64_t ms) { return instantFromMillis(100'000 + ms); }

std::string serverName(size_t i) { return "server-" + std::to_string(i); }

}

TEST_CASE("a server is reached through others from their answer until it accepts a connection")
{
    ServerPaths paths;
    paths.answeredElsewhere("server-1");
    CHECK_FALSE(paths.reachedThroughOthers("server-1")); // this host reaches it
    paths.connectFailed("server-1");
    CHECK_FALSE(paths.reachedThroughOthers("server-1"));
    REQUIRE(paths.startTrial("server-1", at(0)));
    paths.trialEnded("server-1");
    paths.answeredElsewhere("server-1");
    CHECK(paths.reachedThroughOthers("server-1"));
    CHECK(paths.allReachedThroughOthers() == std::vector<std::string> { "server-1" });
    paths.connectFailed("server-1");
    CHECK(paths.reachedThroughOthers("server-1"));
    paths.connected("server-1");
    CHECK_FALSE(paths.reachedThroughOthers("server-1"));
    CHECK_FALSE(paths.startTrial("server-1", at(10)));
}

// Guards against forwarding each request to a server that has crashed while it was reached through others.
TEST_CASE("a server that the other hosts don't reach either is reached through none")
{
    ServerPaths paths;
    paths.connectFailed("server-1");
    paths.answeredElsewhere("server-1");
    paths.unreachableElsewhere("server-1", at(0));
    CHECK_FALSE(paths.reachedThroughOthers("server-1"));
    CHECK_FALSE(paths.startTrial("server-1", at(499)));
    CHECK(paths.startTrial("server-1", at(500)));
}

// Guards against a request for each arrival, while the first one through another host is still unanswered.
TEST_CASE("few requests are tried through other hosts at a time")
{
    ServerPaths paths;
    paths.connectFailed("server-1");
    for (int i = 0; i < 4; ++i)
        CHECK(paths.startTrial("server-1", at(i)));
    CHECK_FALSE(paths.startTrial("server-1", at(5)));
    paths.trialEnded("server-1");
    CHECK(paths.startTrial("server-1", at(6)));
}

// The load that the decision answers: a server has crashed for all hosts while requests for its keys keep coming.
TEST_CASE("a server that has crashed gets fewer and fewer trials")
{
    ServerPaths paths;
    size_t trials = 0;
    for (int64_t ms = 0; ms < 20'000; ms += 20) {
        paths.connectFailed("server-1");
        if (!paths.startTrial("server-1", at(ms)))
            continue;
        ++trials;
        paths.trialEnded("server-1");
        paths.unreachableElsewhere("server-1", at(ms));
    }
    CHECK(trials <= 8);
    CHECK(trials >= 6);
}

// Guards against a pause that is doubled by each of several requests that were forwarded together.
TEST_CASE("requests that find the server unreachable together count once")
{
    ServerPaths paths;
    paths.connectFailed("server-1");
    for (int i = 0; i < 4; ++i)
        paths.startTrial("server-1", at(0));
    for (int i = 0; i < 4; ++i) {
        paths.trialEnded("server-1");
        paths.unreachableElsewhere("server-1", at(5));
    }
    CHECK(paths.startTrial("server-1", at(505)));
}

// Guards against sending to a connection that hangs: only one that has answered since is used.
TEST_CASE("open connections are used if they have answered since the last failed connection")
{
    ServerPaths paths;
    paths.answered("server-1");
    paths.connectFailed("server-1");
    CHECK_FALSE(paths.answersOverOpenConnections("server-1"));
    paths.answered("server-1");
    CHECK(paths.answersOverOpenConnections("server-1"));
    paths.connectFailed("server-1");
    CHECK_FALSE(paths.answersOverOpenConnections("server-1"));
}

// Guards against state that is kept for servers that are gone.
TEST_CASE("servers that are gone are forgotten")
{
    ServerPaths paths;
    paths.connectFailed("server-1");
    paths.answeredElsewhere("server-1");
    paths.retain([](std::string_view server) { return server == "server-2"; });
    CHECK(paths.allReachedThroughOthers().empty());
}

// Guards against a host that reaches some of the servers and leaves the state because these accept connections.
TEST_CASE("servers that were in reach all the time don't end the cut")
{
    ServerReach reach;
    std::vector<ProbeOutcome> outcomes;
    for (size_t i = 0; i < 24; ++i)
        outcomes.push_back({ serverName(i), i >= 13 });
    reach.checked(outcomes, at(0));
    REQUIRE(reach.cutOff());
    CHECK(reach.pathTo(serverName(0)) == ServerReach::Path::Fails);
    CHECK(reach.pathTo(serverName(13)) == ServerReach::Path::Connects);
    for (size_t i = 13; i < 24; ++i)
        reach.connected(serverName(i), 24);
    CHECK(reach.cutOff());
    reach.connected(serverName(0), 24); // had failed before
    CHECK_FALSE(reach.cutOff());
}

// Guards against a host that stays cut off since the servers that it knows to fail are gone or have crashed.
TEST_CASE("a few servers that still fail don't keep the host cut off")
{
    ServerReach reach;
    std::vector<ProbeOutcome> outcomes;
    for (size_t i = 0; i < 5; ++i)
        outcomes.push_back({ serverName(i), false });
    reach.checked(outcomes, at(0));
    REQUIRE(reach.cutOff());
    SUBCASE("they have crashed")
    {
        for (size_t i = 5; i < 12; ++i) {
            CHECK(reach.cutOff());
            reach.connected(serverName(i), 24);
        }
        reach.connected(serverName(12), 24);
        CHECK_FALSE(reach.cutOff());
    }
    SUBCASE("they are gone")
    {
        reach.retain([](std::string_view) { return false; });
        for (size_t i = 5; i < 8; ++i) {
            CHECK(reach.cutOff());
            reach.connected(serverName(i), 24);
        }
        CHECK_FALSE(reach.cutOff());
    }
}

// The load that the decision answers: 24 servers of which this host is cut off from a random part now and then.
TEST_CASE("the state doesn't change while the servers in reach are the same")
{
    CHECK(rc::check([] {
        constexpr size_t servers = 24;
        const auto cutServers = *rc::gen::inRange<size_t>(13, servers + 1);
        auto random = *rc::gen::nonZero<uint32_t>();
        ServerReach reach;
        std::vector<ProbeOutcome> outcomes;
        for (size_t i = 0; i < servers; ++i)
            outcomes.push_back({ serverName(i), i >= cutServers });
        reach.checked(outcomes, at(0));
        for (int64_t step = 0; step < 200; ++step) {
            random = random * 1'664'525 + 1'013'904'223;
            const size_t server = (random >> 16) % servers;
            if (server >= cutServers)
                reach.connected(serverName(server), servers);
            else
                reach.connectFailed(serverName(server), at(step * 50));
            RC_ASSERT(reach.cutOff());
        }
    }));
}
