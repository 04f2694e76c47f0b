// Explores the routing protocol with random histories from fixed seeds. Hosts are paused, restarted without state and
// partitioned; messages are lost, delayed and duplicated; servers freeze and resume; the store is down or its answer is
// lost after the write took effect; leadership changes.
#include "protocol_model.h"

#include <atomic>
#include <cstdlib>
#include <doctest/doctest.h>
#include <thread>

using namespace model;

namespace {

struct Total {
    std::atomic<size_t> histories { 0 };
    std::atomic<size_t> bad { 0 }; // histories in which two servers worked for one key at a time
    std::atomic<size_t> tableRegressions { 0 };
    std::atomic<size_t> dispatched { 0 };
    std::atomic<size_t> ownersGiven { 0 };
    std::atomic<size_t> unserved { 0 };
    std::atomic<uint64_t> lastBadSeed { 0 };
};

Faults faultsForSeed(uint64_t seed)
{
    Faults faults;
    faults.hosts = 3 + static_cast<int>(seed % 3);
    faults.servers = 2 + static_cast<int>(seed / 3 % 2);
    switch (seed / 6 % 4) {
    case 0:
        break;
    case 1: // restarts during partitions while the store is down
        faults.restartPerSecond = 0.4;
        faults.partitionPerSecond = 0.4;
        faults.storeDownPerSecond = 0.4;
        break;
    case 3: // hosts are replaced repeatedly during partitions, and servers often start or stop leaving
        faults.hosts = 5;
        faults.restartPerSecond = 0.05;
        faults.replaceInPartitionPerSecond = 0.8;
        faults.partitionPerSecond = 1.0;
        faults.storeDownPerSecond = 0.1;
        faults.pausePerSecond = 0;
        faults.freezePerSecond = 0.1;
        faults.leavePerSecond = 0.6;
        break;
    case 2: // many messages are lost or delayed, and hosts pause often
        faults.lossProbability = 0.3;
        faults.delayProbability = 0.3;
        faults.pausePerSecond = 0.4;
        break;
    }
    return faults;
}

void explore(size_t histories, const Guards& guards, Total& total, bool endFaultsEarly = false)
{
    std::atomic<uint64_t> next { 1 };
    std::vector<std::thread> threads;
    for (unsigned t = 0; t < std::max(1u, std::thread::hardware_concurrency()); ++t) {
        threads.emplace_back([&] {
            for (uint64_t seed = next++; seed <= histories; seed = next++) {
                Faults faults = faultsForSeed(seed);
                if (endFaultsEarly)
                    faults.faultsEndAt = faults.milliseconds - 8'000;
                const Outcome outcome = Simulation(seed, faults, guards).run();
                ++total.histories;
                total.tableRegressions += outcome.tableRegressions;
                total.dispatched += outcome.dispatched;
                total.ownersGiven += outcome.ownersGiven;
                total.unserved += !outcome.servedAtEnd;
                if (outcome.twoOwners) {
                    ++total.bad;
                    total.lastBadSeed = seed;
                }
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
}

size_t histories()
{
    const char* wanted = std::getenv("CUMINDALE_HISTORIES");
    return wanted ? std::strtoul(wanted, nullptr, 10) : 100'000;
}

void report(std::string_view name, const Total& total)
{
    MESSAGE(name, ": ", total.histories.load(), " histories, ", total.bad.load(), " with two owners at work, ",
        total.dispatched.load(), " dispatches, ", total.ownersGiven.load(), " owners given, ", total.unserved.load(),
        " with unserved keys at the end, a seed with two owners: ", total.lastBadSeed.load());
}

// Expects a violation within `maxHistories` histories, in a protocol without one of the guards.
void expectCaught(std::string_view name, const Guards& guards, size_t maxHistories)
{
    Total total;
    explore(maxHistories, guards, total);
    report(name, total);
    CHECK(total.bad > 0);
}

}

TEST_CASE("two servers never work for one key at a time, and no host adopts an older table")
{
    Total total;
    explore(histories(), {}, total);
    report("all guards", total);
    CHECK(total.bad == 0);
    CHECK(total.tableRegressions == 0);
    CHECK(total.ownersGiven > total.histories * 4); // the histories must contain moves of slices
}

TEST_CASE("when faults end, every key is served again")
{
    Total total;
    explore(2'000, {}, total, true);
    report("faults end early", total);
    CHECK(total.bad == 0);
    CHECK(total.unserved == 0);
}

TEST_CASE("each guard is needed: without it the exploration finds two owners")
{
    SUBCASE("the wait before the second commit")
    {
        Guards guards;
        guards.waitBeforeOwning = false;
        expectCaught("without the wait", guards, 500);
    }
    SUBCASE("a majority's acknowledgement")
    {
        Guards guards;
        guards.majorityAcknowledges = false;
        expectCaught("without the majority", guards, 4'000);
    }
    SUBCASE("the routing lease")
    {
        Guards guards;
        guards.routingLease = false;
        expectCaught("without the lease", guards, 1'000);
    }
    SUBCASE("distrust of young incarnations")
    {
        Guards guards;
        guards.distrustYoungIncarnations = false;
        expectCaught("young incarnations are trusted", guards, 4'000);
    }
    SUBCASE("restarted hosts do not count")
    {
        Guards guards;
        guards.restartedHostsDoNotCount = false;
        expectCaught("restarted hosts count", guards, 20'000);
    }
    SUBCASE("dispatches in flight until their deadline")
    {
        Guards guards;
        guards.inFlightUntilDeadline = false;
        expectCaught("ended connections are forgotten", guards, 8'000);
    }
    SUBCASE("the wait after the work limit was lowered")
    {
        Guards guards;
        guards.waitForLoweredLimit = false;
        expectCaught("a lowered limit applies to waits at once", guards, 20'000);
    }
    SUBCASE("absolute deadlines")
    {
        Guards guards;
        guards.absoluteDeadlines = false;
        expectCaught("deadlines restart", guards, 500);
    }
}
