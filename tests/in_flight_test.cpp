#include "decisions/InFlight.h"

#include <doctest/doctest.h>

using namespace cumindale;

namespace {

constexpr Instant now = instantFromMillis(1000);

SliceTable stoppingTable()
{
    SliceTable table;
    table.service = "tracing";
    table.version = 2;
    table.nextFence = 2;
    table.servers = { "server-1" };
    Slice slice;
    slice.fence = 1;
    slice.owner = 0;
    slice.state = SliceState::Stopping;
    slice.stoppedInVersion = 2;
    table.slices.push_back(slice);
    return table;
}

}

TEST_CASE("a dispatch whose connection ended stays in flight until its deadline")
{
    // A user would see a claim run after its key had a new owner: the server froze, the host closed the
    // connection at the time-out and said "nothing in flight", the server woke and read its socket.
    InFlight inFlight;
    const DispatchId id = inFlight.add("tracing", "server-1", 42, now + Millis(1000));
    inFlight.connectionEnded(id);
    inFlight.removeExpired(now + Millis(999));
    CHECK(inFlight.busy(stoppingTable()).size() == 1);
    inFlight.removeExpired(now + Millis(1000));
    CHECK(inFlight.busy(stoppingTable()).empty());
}

TEST_CASE("a server that refuses connections is gone, but only with the connections that it ended")
{
    InFlight inFlight;
    const DispatchId open = inFlight.add("tracing", "server-1", 42, now + Millis(1000));
    inFlight.serverGone("server-1"); // it may only have closed its listener: this one is still open
    CHECK(inFlight.busy(stoppingTable()).size() == 1);
    inFlight.connectionEnded(open);
    inFlight.serverGone("server-2");
    CHECK(inFlight.busy(stoppingTable()).size() == 1);
    inFlight.serverGone("server-1");
    CHECK(inFlight.busy(stoppingTable()).empty());
}

TEST_CASE("an answered dispatch is done, and other services' slices are not busy with it")
{
    InFlight inFlight;
    inFlight.add("records", "server-1", 42, now + Millis(1000));
    CHECK(inFlight.busy(stoppingTable()).empty());
    const DispatchId id = inFlight.add("tracing", "server-1", 42, now + Millis(1000));
    inFlight.answered(id);
    CHECK(inFlight.busy(stoppingTable()).empty());
}
