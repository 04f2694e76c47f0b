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

// The lease of host-0 in a roster of five; it read the store at time 1000 and holds table version 7.
RoutingLease leaseOfHost0()
{
    RoutingLease lease("host-0", { Millis(600) });
    lease.updateRoster(rosterOf(5));
    lease.updateTableVersion("tracing", 7);
    lease.recordStoreAnswer(instantFromMillis(1000), knownVersions(7));
    return lease;
}

}

TEST_CASE("the lease counts from when the requests to the majority were sent, not from their answers")
{
    // Otherwise two servers could run work for one key: a host sends its requests, is paused, then reads the answers
    // buffered in its sockets and dispatches by a table that was replaced during the pause.
    RoutingLease lease = leaseOfHost0();
    lease.recordPeerAnswer("host-1", instantFromMillis(2000), knownVersions(7), true);
    lease.recordPeerAnswer("host-2", instantFromMillis(2050), knownVersions(7), true);
    const Instant wokenAt = instantFromMillis(9000);
    CHECK(lease.validUntil("tracing", wokenAt) == instantFromMillis(2600));
}

TEST_CASE("two of five are no majority, and a peer that may not be counted adds nothing")
{
    RoutingLease lease = leaseOfHost0();
    const Instant now = instantFromMillis(5000);
    lease.recordPeerAnswer("host-1", now, knownVersions(7), true);
    lease.recordPeerAnswer("host-2", now, knownVersions(7), false);
    CHECK(lease.validUntil("tracing", now) < now);
    lease.recordPeerAnswer("host-2", now, knownVersions(7), true);
    CHECK(lease.validUntil("tracing", now) == now + Millis(600));
}

TEST_CASE("an older answer of a peer does not replace its newer one, which knows a newer version")
{
    RoutingLease lease = leaseOfHost0();
    const Instant now = instantFromMillis(5000);
    lease.recordPeerAnswer("host-1", now, knownVersions(7), true);
    lease.recordPeerAnswer("host-2", now, knownVersions(8), true);
    lease.recordPeerAnswer("host-2", now - Millis(100), knownVersions(7), true); // late or duplicate
    CHECK(lease.validUntil("tracing", now) < now);
}

TEST_CASE("a store with older versions than the host's does not renew the lease")
{
    // Otherwise a key could be served by its previous owner: the platform restores the store from a backup, and a host
    // that holds version 7 reads version 6 there and concludes that version 7 is the newest.
    RoutingLease lease = leaseOfHost0();
    lease.recordStoreAnswer(instantFromMillis(5000), knownVersions(6));
    CHECK(lease.validUntil("tracing", instantFromMillis(5000)) < instantFromMillis(5000));
}

TEST_CASE("a restarted host counts only after it has read the store or has answers from a majority of other hosts")
{
    // Otherwise a key could have two owners: host-0 acknowledges a stop together with two other hosts, restarts without
    // state, and answers the remaining two, which don't know of the stop, that it knows of nothing newer.
    RoutingLease lease("host-0", { Millis(600) });
    CHECK_FALSE(lease.countsInMajorities());
    lease.updateRoster(rosterOf(5));
    lease.updateTableVersion("tracing", 7);
    const Instant now = instantFromMillis(5000);
    lease.recordPeerAnswer("host-1", now, knownVersions(7), true);
    lease.recordPeerAnswer("host-2", now, knownVersions(7), true);
    CHECK_FALSE(lease.countsInMajorities()); // a majority only if host-0 counted itself
    CHECK(lease.validUntil("tracing", now) < now);
    lease.recordPeerAnswer("host-3", now, knownVersions(8), true);
    CHECK_FALSE(lease.countsInMajorities()); // host-0 doesn't hold version 8 yet, which host-3 knows
    lease.updateTableVersion("tracing", 8);
    lease.recordPeerAnswer("host-4", now, knownVersions(8), true);
    CHECK(lease.countsInMajorities());
}

TEST_CASE("a host that is not in the roster never routes")
{
    RoutingLease lease("host-9", { Millis(600) });
    lease.updateRoster(rosterOf(1));
    lease.updateTableVersion("tracing", 7);
    lease.recordStoreAnswer(instantFromMillis(1000), knownVersions(7));
    CHECK(lease.countsInMajorities());
    CHECK(lease.validUntil("tracing", instantFromMillis(1000)) == Instant {});
}
