// Decisions about a host that has lost its network path to the servers: whether it has, and who serves its requests.
#include "decisions/ForwardTargets.h"
#include "decisions/ServerReach.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace cumindale;

namespace {

using Path = ServerReach::Path;

Instant at(int64_t ms) { return instantFromMillis(100'000 + ms); }

std::string serverName(size_t i) { return "server-" + std::to_string(i); }

std::vector<ForwardTarget> hostsIn(size_t count, size_t dataCentres)
{
    std::vector<ForwardTarget> hosts;
    for (size_t i = 0; i < count; ++i) {
        const std::string name = "host-" + std::to_string(i);
        hosts.push_back({ name, "dc-" + std::to_string(i % dataCentres), "10.0.0.1:" + std::to_string(1'000 + i) });
    }
    return hosts;
}

}

// Guards against taking a crashed server for a lost path: every request to its keys would go through another host.
TEST_CASE("a single server that accepts no connections raises no suspicion")
{
    ServerReach reach;
    for (int64_t i = 0; i < 50; ++i)
        reach.connectFailed("server-1", at(i * 10));
    CHECK_FALSE(reach.suspicious(at(500)));
    reach.connectFailed("server-2", at(510));
    CHECK(reach.suspicious(at(510)));
    CHECK_FALSE(reach.suspicious(at(4'000)));
}

// Guards against a suspicion by servers that crash one after the other while all others accept connections.
TEST_CASE("a connection that is opened ends the suspicion")
{
    ServerReach reach;
    reach.connectFailed("server-1", at(0));
    reach.connected("server-3", 24);
    reach.connectFailed("server-2", at(2));
    CHECK_FALSE(reach.suspicious(at(2)));
}

// Guards against hosts that believe to be cut off when a data centre with a third of the servers is lost.
TEST_CASE("most probes of a check must fail")
{
    ServerReach reach;
    reach.checked(3, 1, at(0));
    CHECK_FALSE(reach.cutOff());
    CHECK_FALSE(reach.mayCheck(at(400)));
    CHECK(reach.mayCheck(at(500)));
    reach.checked(3, 2, at(500));
    CHECK(reach.cutOff());
}

// Guards against a check without any server to probe: it must not cut off a host with a single server.
TEST_CASE("a check that probes nothing changes nothing")
{
    ServerReach reach;
    reach.checked(0, 0, at(0));
    CHECK_FALSE(reach.cutOff());
}

// Guards against a partition in which open connections go on working while new ones are refused: answers over the old
// ones would hide that no request without an open connection can be sent.
TEST_CASE("answers over open connections end neither the suspicion nor the cut")
{
    ServerReach reach;
    reach.connectFailed("server-1", at(0));
    reach.answered("server-3", at(1));
    reach.connectFailed("server-2", at(2));
    CHECK(reach.suspicious(at(2)));
    reach.checked(3, 3, at(3));
    CHECK(reach.pathTo("server-3") == Path::Unknown);
    reach.answered("server-3", at(4));
    CHECK(reach.cutOff());
    CHECK(reach.pathTo("server-3") == Path::AnswersOnly);
    reach.connectFailed("server-3", at(5));
    CHECK(reach.pathTo("server-3") == Path::AnswersOnly);
    reach.connectFailed("server-4", at(5));
    CHECK(reach.pathTo("server-4") == Path::Fails);
}

// Guards against leaving the state by the one server of many that this host still reaches.
TEST_CASE("several servers in a row must accept a connection before the host counts as reconnected")
{
    ServerReach reach;
    reach.checked(3, 3, at(0));
    for (int i = 0; i < 10; ++i) {
        reach.connected("server-1", 24);
        reach.connected("server-1", 24);
        reach.connected("server-2", 24);
        CHECK(reach.cutOff());
        CHECK(reach.pathTo("server-1") == Path::Connects);
        reach.connectFailed("server-" + std::to_string(3 + i), at(i));
    }
    reach.connected("server-1", 24);
    reach.connected("server-2", 24);
    reach.connected("server-3", 24);
    CHECK_FALSE(reach.cutOff());
    CHECK(reach.pathTo("server-4") == Path::Connects);
}

// Guards against a host with two servers that never counts as reconnected, since there is no third one.
TEST_CASE("few servers are enough where there are no more")
{
    ServerReach reach;
    reach.checked(2, 2, at(0));
    REQUIRE(reach.cutOff());
    reach.connected("server-1", 2);
    reach.connected("server-2", 2);
    CHECK_FALSE(reach.cutOff());
}

// Guards against checks whose probes all go to the data centre that is lost.
TEST_CASE("probes go to as many data centres as possible")
{
    const std::array<ProbeCandidate, 6> candidates { { { "a", "dc-1" }, { "b", "dc-1" }, { "c", "dc-1" },
        { "d", "dc-1" }, { "e", "dc-2" }, { "f", "dc-3" } } };
    for (uint64_t random = 0; random < 12; ++random) {
        const auto chosen = chooseProbes(candidates, 3, random);
        std::set<std::string_view> dataCentres;
        for (const size_t index : chosen)
            dataCentres.insert(candidates[index].dataCentre);
        CHECK(dataCentres.size() == 3);
    }
    CHECK(chooseProbes(candidates, 10, 5).size() == 6);
    CHECK(chooseProbes({}, 3, 5).empty());
}

// The load that the decision answers: 24 servers in three data centres, some lost for all, a partition of this host now
// and then. Replays random histories of connections and checks that the state follows the partition.
TEST_CASE("the state follows random partitions and ignores lost servers")
{
    CHECK(rc::check([] {
        constexpr size_t servers = 24;
        ServerReach reach;
        const size_t lostDataCentre = *rc::gen::inRange<size_t>(0, 4); // 3: none
        // Not by a generator, which would begin with one server only.
        auto random = *rc::gen::nonZero<uint32_t>();
        bool partitioned = false;
        int64_t now = 0;
        for (int round = 0; round < 6; ++round) {
            partitioned = !partitioned && *rc::gen::arbitrary<bool>();
            for (int step = 0; step < 40; ++step) {
                now += 50;
                random = random * 1'664'525 + 1'013'904'223;
                const size_t server = (random >> 16) % servers;
                const auto connects = [&](size_t i) { return !partitioned && i % 3 != lostDataCentre; };
                if (connects(server))
                    reach.connected(serverName(server), servers);
                else
                    reach.connectFailed(serverName(server), at(now));
                if (reach.suspicious(at(now)) && reach.mayCheck(at(now))) {
                    size_t failures = 0;
                    for (size_t i = 0; i < 3; ++i)
                        failures += !connects(i);
                    reach.checked(3, failures, at(now));
                }
            }
            if (partitioned)
                RC_ASSERT(reach.cutOff());
            else if (lostDataCentre == 3)
                RC_ASSERT(!reach.cutOff());
        }
    }));
}

// Guards against lists that all hosts of a data centre lose together, and that name the host itself.
TEST_CASE("a host's forward targets are in its own and in other data centres")
{
    ForwardPlan plan;
    plan.setHosts(hostsIn(30, 3));
    for (const auto& host : hostsIn(30, 3)) {
        const auto targets = plan.targetsOf(host.host, host.dataCentre);
        REQUIRE(targets.size() == 6);
        const auto near = std::count_if(targets.begin(), targets.end(),
            [&](const ForwardTarget& target) { return target.dataCentre == host.dataCentre; });
        CHECK(near >= 3);
        CHECK(std::count(targets.begin(), targets.end(), host) == 0);
        std::set<std::string> names;
        for (const auto& target : targets)
            names.insert(target.host);
        CHECK(names.size() == targets.size());
    }
}

// Guards against news to all hosts when one host is cut off: with thousands of hosts each cut would be told to all.
TEST_CASE("a host that is cut off changes the lists of few others")
{
    constexpr size_t hosts = 1'000;
    ForwardPlan plan;
    auto all = hostsIn(hosts, 10);
    plan.setHosts(all);
    std::vector<std::vector<ForwardTarget>> before;
    before.reserve(hosts);
    for (const auto& host : all)
        before.push_back(plan.targetsOf(host.host, host.dataCentre));
    auto rest = all;
    rest.erase(rest.begin() + 500);
    plan.setHosts(rest);
    size_t changed = 0;
    for (size_t i = 0; i < hosts; ++i)
        changed += plan.targetsOf(all[i].host, all[i].dataCentre) != before[i];
    CHECK(changed <= 8);
}

// Guards against one host that gets most of the load of many: with five of eight hosts cut off, the remaining three
// have little to spare.
TEST_CASE("forwarded requests are spread evenly")
{
    const auto remaining = hostsIn(3, 3);
    std::array<unsigned, 3> load {};
    uint64_t random = 88'172'645'463'325'252;
    for (size_t cutHost = 0; cutHost < 5; ++cutHost) {
        ForwardChoice choice("dc-" + std::to_string(cutHost % 3));
        choice.setTargets(remaining);
        std::vector<std::string> inFlight;
        for (size_t request = 0; request < 300; ++request) {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            const auto target = choice.choose({}, at(0), random);
            REQUIRE(target);
            choice.started(target->host);
            inFlight.push_back(target->host);
            if (inFlight.size() > 6) {
                choice.ended(inFlight.front());
                inFlight.erase(inFlight.begin());
            }
            ++load[static_cast<size_t>(target->host.back() - '0')];
        }
    }
    for (const unsigned each : load)
        CHECK(each <= 1.25 * 500);
}

TEST_CASE("targets that are excluded or to be avoided get nothing")
{
    ForwardChoice choice("dc-0");
    choice.setTargets(hostsIn(2, 2));
    const std::array<std::string, 1> excluded { "host-0" };
    for (uint64_t random = 0; random < 10; ++random)
        CHECK(choice.choose(excluded, at(0), random)->host == "host-1");
    choice.avoid("host-1", at(100));
    CHECK_FALSE(choice.choose(excluded, at(99), 3));
    CHECK(choice.choose(excluded, at(100), 3));
    choice.setTargets({});
    CHECK_FALSE(choice.choose({}, at(200), 3));
}
