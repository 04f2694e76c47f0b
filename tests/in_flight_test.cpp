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
    // Otherwise a claim could run after its key got a new owner: the server freezes, the host closes the connection at
    // the timeout and reports nothing in flight, then the server resumes and reads the request from its socket.
    InFlight inFlight;
    const DispatchId id = inFlight.add("tracing", "server-1", 42, now + Millis(1000));
    inFlight.connectionEnded(id);
    inFlight.removeExpired(now + Millis(999));
    CHECK(inFlight.busy(stoppingTable()).size() == 1);
    inFlight.removeExpired(now + Millis(1000));
    CHECK(inFlight.busy(stoppingTable()).empty());
}

TEST_CASE("a server that refuses connections ends only the dispatches whose connection has ended")
{
    InFlight inFlight;
    const DispatchId open = inFlight.add("tracing", "server-1", 42, now + Millis(1000));
    inFlight.serverGone("server-1"); // the connection is still open: the server may only have closed its listener
    CHECK(inFlight.busy(stoppingTable()).size() == 1);
    inFlight.connectionEnded(open);
    inFlight.serverGone("server-2");
    CHECK(inFlight.busy(stoppingTable()).size() == 1);
    inFlight.serverGone("server-1");
    CHECK(inFlight.busy(stoppingTable()).empty());
}

TEST_CASE("an answered dispatch is no longer in flight, and dispatches don't make slices of other services busy")
{
    InFlight inFlight;
    inFlight.add("records", "server-1", 42, now + Millis(1000));
    CHECK(inFlight.busy(stoppingTable()).empty());
    const DispatchId id = inFlight.add("tracing", "server-1", 42, now + Millis(1000));
    inFlight.answered(id);
    CHECK(inFlight.busy(stoppingTable()).empty());
}
