#include "decisions/Freshness.h"

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

KnownVersions versions(uint64_t table, uint64_t roster = 1) { return { roster, { { "tracing", table } } }; }

// host-0 of five, which has read the store at time 1000 and holds version 7.
Freshness freshHost()
{
    Freshness freshness("host-0", { Millis(600) });
    freshness.holdRoster(rosterOf(5));
    freshness.holdTable("tracing", 7);
    freshness.storeAnswered(instantFromMillis(1000), versions(7));
    return freshness;
}

}

TEST_CASE("the lease counts from when the majority was asked, not from when it answered")
{
    // A user would see two servers run work for one key. A host asks, freezes for a while, wakes, reads the
    // answers that waited in its sockets and dispatches by a table that was replaced while it slept.
    Freshness freshness = freshHost();
    freshness.peerAnswered("host-1", instantFromMillis(2000), versions(7), true);
    freshness.peerAnswered("host-2", instantFromMillis(2050), versions(7), true);
    const Instant wokenAt = instantFromMillis(9000);
    CHECK(freshness.freshUntil("tracing", wokenAt) == instantFromMillis(2600));
}

TEST_CASE("two of five are no majority, and a host that does not count adds nothing")
{
    Freshness freshness = freshHost();
    const Instant now = instantFromMillis(5000);
    freshness.peerAnswered("host-1", now, versions(7), true);
    freshness.peerAnswered("host-2", now, versions(7), false);
    CHECK(freshness.freshUntil("tracing", now) < now);
    freshness.peerAnswered("host-2", now, versions(7), true);
    CHECK(freshness.freshUntil("tracing", now) == now + Millis(600));
}

TEST_CASE("one peer that knows a newer version is not outvoted by its own older answer")
{
    Freshness freshness = freshHost();
    const Instant now = instantFromMillis(5000);
    freshness.peerAnswered("host-1", now, versions(7), true);
    freshness.peerAnswered("host-2", now, versions(8), true);
    freshness.peerAnswered("host-2", now - Millis(100), versions(7), true); // late, or repeated
    CHECK(freshness.freshUntil("tracing", now) < now);
}

TEST_CASE("a store that went back in time vouches for nothing")
{
    // A user would see a key served by its former owner. The platform restores the store from a backup; a host
    // that holds version 7 reads version 6 there and takes "nothing newer" for "still the newest".
    Freshness freshness = freshHost();
    freshness.storeAnswered(instantFromMillis(5000), versions(6));
    CHECK(freshness.freshUntil("tracing", instantFromMillis(5000)) < instantFromMillis(5000));
}

TEST_CASE("a restarted host counts only after it has read the store or heard a majority without itself")
{
    // A user would see two owners: host-0 acknowledged a stop together with two others, restarted with nothing,
    // and answered "I know nothing newer" to the two that had not heard of the stop.
    Freshness freshness("host-0", { Millis(600) });
    CHECK_FALSE(freshness.counts());
    freshness.holdRoster(rosterOf(5));
    freshness.holdTable("tracing", 7);
    const Instant now = instantFromMillis(5000);
    freshness.peerAnswered("host-1", now, versions(7), true);
    freshness.peerAnswered("host-2", now, versions(7), true);
    CHECK_FALSE(freshness.counts()); // with itself they would be three
    CHECK(freshness.freshUntil("tracing", now) < now);
    freshness.peerAnswered("host-3", now, versions(8), true);
    CHECK_FALSE(freshness.counts()); // it does not hold yet what host-3 knows
    freshness.holdTable("tracing", 8);
    freshness.peerAnswered("host-4", now, versions(8), true);
    CHECK(freshness.counts());
}

TEST_CASE("a host that the roster does not name never routes")
{
    Freshness freshness("host-9", { Millis(600) });
    freshness.holdRoster(rosterOf(1));
    freshness.holdTable("tracing", 7);
    freshness.storeAnswered(instantFromMillis(1000), versions(7));
    CHECK(freshness.counts());
    CHECK(freshness.freshUntil("tracing", instantFromMillis(1000)) == Instant {});
}
