#include "decisions/StopGate.h"

#include <doctest/doctest.h>

using namespace cumindale;

namespace {

constexpr Millis longestWork { 1000 };
constexpr GateOptions options { Millis(600), Millis(100) };

Roster threeHosts()
{
    Roster roster;
    roster.version = 1;
    for (const char* name : { "a", "b", "c" })
        roster.members.push_back({ name, "dc-1", "127.0.0.1", 1, 2, 3 });
    return roster;
}

HostReport report(uint64_t adopted, bool busy = false, Millis age = Millis(60'000))
{
    HostReport report;
    report.age = age;
    report.counts = true;
    report.adoptedTables["tracing"] = adopted;
    if (busy)
        report.busy.push_back({ "tracing", 0 });
    return report;
}

StopGate gateFor(uint64_t version) { return StopGate("tracing", 0, version, longestWork, options); }

}

TEST_CASE("the slice may get its next owner at once when no host has a dispatch in flight")
{
    StopGate gate = gateFor(5);
    const Instant now = instantFromMillis(1000);
    gate.observe(threeHosts(), { { "a", report(5) }, { "b", report(5) }, { "c", report(5, true) } }, now);
    CHECK_FALSE(gate.mayAssignOwner(now));
    gate.observe(threeHosts(), { { "a", report(5) }, { "b", report(5) }, { "c", report(5) } }, now);
    CHECK(gate.mayAssignOwner(now));
}

TEST_CASE("acknowledgement by a minority is not enough, however long the wait")
{
    // Otherwise a key could have two owners: the assigner reaches one host of three, while the other two renew each
    // other's routing lease and dispatch to the previous owner for as long as the partition lasts.
    StopGate gate = gateFor(5);
    for (int64_t ms = 0; ms < 60'000; ms += 100)
        gate.observe(threeHosts(), { { "a", report(5) }, { "b", report(4) } }, instantFromMillis(ms));
    CHECK_FALSE(gate.mayAssignOwner(instantFromMillis(60'000)));
}

TEST_CASE("after a majority acknowledged, the wait lasts for the lease, the drift margin and the longest work")
{
    StopGate gate = gateFor(5);
    const Instant first = instantFromMillis(1000);
    gate.observe(threeHosts(), { { "a", report(5) } }, first);
    const Instant majority = instantFromMillis(2000);
    gate.observe(threeHosts(), { { "a", report(5) }, { "b", report(5) } }, majority);
    CHECK_FALSE(gate.mayAssignOwner(majority + Millis(1699)));
    CHECK(gate.mayAssignOwner(majority + Millis(1700)));
}

TEST_CASE("a young incarnation's report of nothing in flight is not enough")
{
    // Otherwise a claim could run at the previous owner after the new owner took over: a host sends the claim to a
    // frozen server, is killed and replaced at once, and the new incarnation reports nothing in flight.
    StopGate gate = gateFor(5);
    const Instant now = instantFromMillis(1000);
    gate.observe(threeHosts(), { { "a", report(5) }, { "b", report(5) }, { "c", report(5, false, Millis(300)) } }, now);
    CHECK_FALSE(gate.mayAssignOwner(now));
}

TEST_CASE("the gate waits for departed hosts as well")
{
    StopGate gate = gateFor(5);
    Roster roster = threeHosts();
    roster.members[2].state = MemberState::Departed;
    const Instant now = instantFromMillis(1000);
    gate.observe(roster, { { "a", report(5) }, { "b", report(5) } }, now);
    CHECK_FALSE(gate.mayAssignOwner(now));
    CHECK(gate.mayAssignOwner(now + Millis(1700)));
}
