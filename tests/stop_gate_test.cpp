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

TEST_CASE("with every host idle the slice may have its next owner at once")
{
    StopGate gate = gateFor(5);
    const Instant now = instantFromMillis(1000);
    gate.observe(threeHosts(), { { "a", report(5) }, { "b", report(5) }, { "c", report(5, true) } }, now);
    CHECK_FALSE(gate.mayAssignOwner(now));
    gate.observe(threeHosts(), { { "a", report(5) }, { "b", report(5) }, { "c", report(5) } }, now);
    CHECK(gate.mayAssignOwner(now));
}

TEST_CASE("time alone is not enough: a minority's acknowledgement never opens the gate")
{
    // A user would see two owners: the assigner reaches one host of three, the other two stay fresh through
    // each other and dispatch to the former owner for as long as the cut lasts.
    StopGate gate = gateFor(5);
    for (int64_t ms = 0; ms < 60'000; ms += 100)
        gate.observe(threeHosts(), { { "a", report(5) }, { "b", report(4) } }, instantFromMillis(ms));
    CHECK_FALSE(gate.mayAssignOwner(instantFromMillis(60'000)));
}

TEST_CASE("with a majority the wait covers lease, drift and the longest work, from its acknowledgement")
{
    StopGate gate = gateFor(5);
    const Instant first = instantFromMillis(1000);
    gate.observe(threeHosts(), { { "a", report(5) } }, first);
    const Instant majority = instantFromMillis(2000);
    gate.observe(threeHosts(), { { "a", report(5) }, { "b", report(5) } }, majority);
    CHECK_FALSE(gate.mayAssignOwner(majority + Millis(1699)));
    CHECK(gate.mayAssignOwner(majority + Millis(1700)));
}

TEST_CASE("a young incarnation can't vouch for what the former one sent")
{
    // A user would see a claim run at the old owner after the new one took over: a host sent it to a frozen
    // server, was killed and replaced at once, and its successor said "nothing in flight".
    StopGate gate = gateFor(5);
    const Instant now = instantFromMillis(1000);
    gate.observe(threeHosts(), { { "a", report(5) }, { "b", report(5) }, { "c", report(5, false, Millis(300)) } }, now);
    CHECK_FALSE(gate.mayAssignOwner(now));
}

TEST_CASE("a departed host is waited for as well")
{
    StopGate gate = gateFor(5);
    Roster roster = threeHosts();
    roster.members[2].state = MemberState::Departed;
    const Instant now = instantFromMillis(1000);
    gate.observe(roster, { { "a", report(5) }, { "b", report(5) } }, now);
    CHECK_FALSE(gate.mayAssignOwner(now));
    CHECK(gate.mayAssignOwner(now + Millis(1700)));
}
