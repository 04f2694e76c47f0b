// What reaches a server that is warming up, as a sum over all hosts.
#include "decisions/WarmUp.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <random>
#include <string>
#include <vector>

using namespace cumindale;

namespace {

constexpr WarmUpLimit bound { Millis(3'000), 4 };
constexpr double maxPerSecond = 4 * 1.5 + 8; // above it such a server may crash
constexpr unsigned servers = 40;

enum class SendingPolicy : uint8_t {
    Unlimited, // as to any other server, one at a time
    EvenShare, // each host its part of the rate, one request saved up
    FewHosts,
};

struct Host {
    std::string name;
    HostCount count;
    std::vector<Instant> next; // by server
    bool disconnected = false;
};

struct Outcome {
    size_t maxInOneSecond = 0; // at one server
    double perSecond = 0; // mean of a server
};

// Every host has a request for every server at any moment. Hosts start at odd times, are cut off from the coordinator
// with the count that they had, and hear the count of a coordinator that has just taken over.
Outcome simulate(SendingPolicy policy, size_t hosts, unsigned seed)
{
    std::mt19937 random(seed);
    const auto below = [&](int limit) { return static_cast<int>(random() % static_cast<unsigned>(limit)); };
    std::vector<Host> all(hosts);
    const Instant begin { Millis(100'000) };
    constexpr Millis length { 9'000 };
    constexpr Millis work { 100 };
    std::vector<Instant> starts(hosts);
    for (size_t i = 0; i < hosts; ++i) {
        all[i].name = "host-" + std::to_string(seed) + "-" + std::to_string(i);
        all[i].next.resize(servers);
        all[i].disconnected = below(8) == 0;
        const bool early = below(4) != 0;
        starts[i] = early ? begin - Millis(20'000) : begin + Millis(below(4'000));
        if (early)
            all[i].count.count(hosts, begin - Millis(15'000));
    }
    const Instant takeover = begin + Millis(below(3'000));
    std::vector<std::deque<Instant>> arrivals(servers);
    Outcome outcome;
    size_t sum = 0;
    for (Instant now = begin; now < begin + length; now += Millis(10)) {
        // The hosts that the present coordinator has heard of.
        const auto sinceTakeover = std::clamp<int64_t>((now - takeover).count(), 1, 600);
        const size_t counted
            = now < takeover ? hosts : std::max<size_t>(1, hosts * static_cast<size_t>(sinceTakeover) / 600);
        for (size_t i = 0; i < hosts; ++i) {
            Host& host = all[i];
            if (now < starts[i])
                continue;
            if (!host.disconnected && (now - begin).count() % 250 == static_cast<int64_t>(i % 25) * 10)
                host.count.count(counted, now);
            for (unsigned server = 0; server < servers; ++server) {
                if (now < host.next[server])
                    continue;
                const auto known = host.count.settled(now);
                const std::string name = "server-" + std::to_string(server);
                Millis pause = work;
                if (policy == SendingPolicy::EvenShare)
                    pause = Millis(static_cast<int64_t>(1000 * static_cast<double>(hosts) / bound.perSecond));
                if (policy == SendingPolicy::FewHosts) {
                    if (!known || !maySendDuringWarmUp(host.name, name, *known, bound))
                        continue;
                    pause = warmUpPause;
                }
                host.next[server] = now + pause;
                auto& recent = arrivals[server];
                recent.push_back(now + Millis(below(40)));
                ++sum;
                while (recent.front() + Millis(1'000) <= now)
                    recent.pop_front();
                outcome.maxInOneSecond = std::max(outcome.maxInOneSecond, recent.size());
            }
        }
    }
    outcome.perSecond = static_cast<double>(sum) / servers / (static_cast<double>(length.count()) / 1000);
    return outcome;
}

}

// What callers saw: a data centre came back after two seconds of darkness, and its servers fell over one after the
// other as soon as they were up, for as long as the burst lasted. Each host kept to a small part, and all hosts
// together sent several times what such a server bears.
TEST_CASE("all hosts together keep below what a server bears that warms up")
{
    for (const size_t hosts : { 1, 4, 58, 300 }) {
        size_t maxArrivals = 0;
        double served = 0;
        constexpr unsigned runs = 30;
        for (unsigned seed = 1; seed <= runs; ++seed) {
            const Outcome outcome = simulate(SendingPolicy::FewHosts, hosts, seed);
            maxArrivals = std::max(maxArrivals, outcome.maxInOneSecond);
            served += outcome.perSecond / runs;
        }
        const Outcome unlimited = simulate(SendingPolicy::Unlimited, hosts, 1);
        const Outcome even = simulate(SendingPolicy::EvenShare, hosts, 1);
        MESSAGE(hosts << " hosts: at most " << maxArrivals << " in a second, " << served
                      << " on average; with an even part " << even.maxInOneSecond << ", unlimited "
                      << unlimited.maxInOneSecond);
        CHECK(static_cast<double>(maxArrivals) <= maxPerSecond);
        CHECK(served > 0.3); // a part of its callers is served meanwhile
    }
    CHECK(static_cast<double>(simulate(SendingPolicy::EvenShare, 58, 1).maxInOneSecond) > maxPerSecond);
}

// A coordinator that has just been elected counts the few hosts that have reported to it so far. Taken at its word,
// each of them was one of few.
TEST_CASE("a count of hosts that has fallen is believed late, and a first one only once it has settled")
{
    const Instant begin { Millis(1'000) };
    HostCount count;
    CHECK_FALSE(count.settled(begin));
    count.count(2, begin);
    count.count(58, begin + Millis(500));
    CHECK_FALSE(count.settled(begin + Millis(1'000)));
    CHECK(count.settled(begin + Millis(2'500)) == 58);
    count.count(3, begin + Millis(3'000));
    CHECK(count.settled(begin + Millis(3'000)) == 58);
    // Cut off for half a minute, and a new coordinator again.
    count.count(4, begin + Millis(30'000));
    CHECK(count.settled(begin + Millis(30'000)) == 58);
    for (Millis passed { 30'500 }; passed < Millis(41'000); passed += Millis(500))
        count.count(40, begin + passed);
    CHECK(count.settled(begin + Millis(41'000)) == 40);
}
