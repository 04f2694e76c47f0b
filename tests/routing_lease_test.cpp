#include "decisions/RoutingLease.h"

#include <doctest/doctest.h>

using namespace cumindale;

namespace {

Roster rosterOf(size_t hosts, uint64_t version = 1)
{
    Roster roster;
    roster.version = version;
    for (size_t i = 0; i < hosts; ++i)
        roster.members.push_back({ "host-" + std::to_string(i), "dc-1", "127.0.0.1", 1, 2, 3 });
    return roster;
}

KnownVersions knownVersions(uint64_t table, uint64_t roster = 1) { return { roster, { { "tracing", table } } }; }

// host-0 of five, which has read the store at time 1000 and holds version 7.
RoutingLease leaseOfHost0()
{
    RoutingLease lease("host-0", { Millis(600) });
    lease.updateRoster(rosterOf(5));
    lease.updateTableVersion("tracing", 7);
    lease.recordStoreAnswer(instantFromMillis(1000), knownVersions(7));
    return lease;
}

}

TEST_CASE("the lease counts from when the majority was asked, not from when it answered")
{
    // A user would see two servers run work for one key. A host asks, freezes for a while, wakes, reads the
    // answers that waited in its sockets and dispatches by a table that was replaced while it slept.
    RoutingLease lease = leaseOfHost0();
    lease.recordPeerAnswer("host-1", instantFromMillis(2000), knownVersions(7), true);
    lease.recordPeerAnswer("host-2", instantFromMillis(2050), knownVersions(7), true);
    const Instant wokenAt = instantFromMillis(9000);
    CHECK(lease.validUntil("tracing", wokenAt) == instantFromMillis(2600));
}

TEST_CASE("two of five are no majority, and a host that does not count adds nothing")
{
    RoutingLease lease = leaseOfHost0();
    const Instant now = instantFromMillis(5000);
    lease.recordPeerAnswer("host-1", now, knownVersions(7), true);
    lease.recordPeerAnswer("host-2", now, knownVersions(7), false);
    CHECK(lease.validUntil("tracing", now) < now);
    lease.recordPeerAnswer("host-2", now, knownVersions(7), true);
    CHECK(lease.validUntil("tracing", now) == now + Millis(600));
}

TEST_CASE("one peer that knows a newer version is not outvoted by its own older answer")
{
    RoutingLease lease = leaseOfHost0();
    const Instant now = instantFromMillis(5000);
    lease.recordPeerAnswer("host-1", now, knownVersions(7), true);
    lease.recordPeerAnswer("host-2", now, knownVersions(8), true);
    lease.recordPeerAnswer("host-2", now - Millis(100), knownVersions(7), true); // late, or repeated
    CHECK(lease.validUntil("tracing", now) < now);
}

TEST_CASE("a store that went back in time vouches for nothing")
{
    // A user would see a key served by its former owner. The platform restores the store from a backup; a host
    // that holds version 7 reads version 6 there and takes "nothing newer" for "still the newest".
    RoutingLease lease = leaseOfHost0();
    lease.recordStoreAnswer(instantFromMillis(5000), knownVersions(6));
    CHECK(lease.validUntil("tracing", instantFromMillis(5000)) < instantFromMillis(5000));
}

TEST_CASE("a restarted host counts only after it has read the store or heard a majority without itself")
{
    // A user would see two owners: host-0 acknowledged a stop together with two others, restarted with nothing,
    // and answered "I know nothing newer" to the two that had not heard of the stop.
    RoutingLease lease("host-0", { Millis(600) });
    CHECK_FALSE(lease.countsInMajorities());
    lease.updateRoster(rosterOf(5));
    lease.updateTableVersion("tracing", 7);
    const Instant now = instantFromMillis(5000);
    lease.recordPeerAnswer("host-1", now, knownVersions(7), true);
    lease.recordPeerAnswer("host-2", now, knownVersions(7), true);
    CHECK_FALSE(lease.countsInMajorities()); // with itself they would be three
    CHECK(lease.validUntil("tracing", now) < now);
    lease.recordPeerAnswer("host-3", now, knownVersions(8), true);
    CHECK_FALSE(lease.countsInMajorities()); // it does not hold yet what host-3 knows
    lease.updateTableVersion("tracing", 8);
    lease.recordPeerAnswer("host-4", now, knownVersions(8), true);
    CHECK(lease.countsInMajorities());
}

TEST_CASE("a host that the roster does not name never routes")
{
    RoutingLease lease("host-9", { Millis(600) });
    lease.updateRoster(rosterOf(1));
    lease.updateTableVersion("tracing", 7);
    lease.recordStoreAnswer(instantFromMillis(1000), knownVersions(7));
    CHECK(lease.countsInMajorities());
    CHECK(lease.validUntil("tracing", instantFromMillis(1000)) == Instant {});
}
