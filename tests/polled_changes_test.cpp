#include "decisions/PolledChanges.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace cumindale;

namespace {

// Returns the revision from which the next poll begins.
int64_t poll(PolledChanges& polled, int64_t newestChange, int64_t storeRevision)
{
    polled.onPollBegun();
    return polled.onPollEnded(newestChange, storeRevision);
}

}

// Guards against changes that stay unknown for good, after a pending poll has stopped receiving changes.
TEST_CASE("a poll that ends empty has seen what was written before it began, and the next one begins there")
{
    PolledChanges polled;
    polled.onRevision(40);
    CHECK(poll(polled, 0, 45) == 40);
    CHECK(poll(polled, 0, 50) == 45);
    CHECK(poll(polled, 48, 60) == 50); // the store had 48 and 50 when the poll began
}

TEST_CASE("a poll with changes has seen all up to the last of them, and no more")
{
    PolledChanges polled;
    polled.onRevision(40);
    CHECK(poll(polled, 44, 47) == 44);
}

TEST_CASE("a first poll, and a replica that is behind, claim nothing that they haven't seen")
{
    PolledChanges polled;
    CHECK(poll(polled, 0, 45) == 0);
    CHECK(poll(polled, 0, 41) == 41);
}

// Each revision is a change that the poll watches, and every third pending poll misses all of them.
TEST_CASE("a host never counts a change as known that it hasn't received, and the next poll brings what was missed")
{
    PolledChanges polled;
    int64_t storeRevision = 1;
    int64_t known = 0;
    for (int round = 0; round < 1'000; ++round) {
        const int64_t atBegin = storeRevision;
        polled.onPollBegun();
        storeRevision += round * 7919 % 5;
        const bool misses = round % 3 == 0;
        // What was written before the poll began is returned at once.
        const int64_t received = atBegin > known ? atBegin : misses ? known : storeRevision;
        const int64_t ended = polled.onPollEnded(received > known ? received : 0, storeRevision);
        CHECK(ended <= received);
        known = received;
    }
    CHECK(known + 10 > storeRevision);
}
