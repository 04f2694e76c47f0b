// Requests that reach a server during its warm-up, as a sum over all hosts.
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
constexpr double maxPerSecond = 4 * 1.5 + 8; // above this rate, such a server may crash
constexpr unsigned servers = 40;

enum class SendingPolicy : uint8_t {
    Unlimited, // one request at a time without a pause, as to any other server
    EvenShare, // each host at its part of the rate, with a burst of one request
    FewHosts,
};

struct Host {
    std::string name;
    HostCount count;
    std::vector<Instant> next; // by server
    bool disconnected = false;
};

struct Outcome {
    size_t maxInOneSecond = 0; // maximum over all servers
    double perSecond = 0; // mean per server
};

// Simulates hosts that have a request for every server at any time. Hosts start at random times, lose the connection to
// the coordinator and keep the count that they had, or receive the count of a coordinator that has just taken over.
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
        // Milliseconds since the takeover; the new coordinator has received reports from all hosts after 600.
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

// Guards against servers that crash one after the other as soon as they are up, for as long as a burst lasts, after
// their data centre was down for two seconds. Each host kept to a small part of the rate, but all hosts together sent
// several times what a server takes during its warm-up.
TEST_CASE("all hosts together stay below the rate that a server takes during its warm-up")
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
                      << " on average; with an even share " << even.maxInOneSecond << ", unlimited "
                      << unlimited.maxInOneSecond);
        CHECK(static_cast<double>(maxArrivals) <= maxPerSecond);
        CHECK(served > 0.3); // some requests are served during the warm-up
    }
    CHECK(static_cast<double>(simulate(SendingPolicy::EvenShare, 58, 1).maxInOneSecond) > maxPerSecond);
}

// A newly elected coordinator counts only the few hosts that have reported to it so far. Hosts that used that count at
// once would each take themselves for one of few.
TEST_CASE("a lower host count takes effect after a delay, and the first count after the settling time")
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
    // The host was cut off for half a minute, and then a new coordinator took over.
    count.count(4, begin + Millis(30'000));
    CHECK(count.settled(begin + Millis(30'000)) == 58);
    for (Millis passed { 30'500 }; passed < Millis(41'000); passed += Millis(500))
        count.count(40, begin + passed);
    CHECK(count.settled(begin + Millis(41'000)) == 40);
}
