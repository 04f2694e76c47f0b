#include "decisions/CallerBudget.h"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace cumindale;

namespace {

struct TestConnection final : CallerBudget::Owner {
    TestConnection(CallerBudget& budget, Instant now)
        : account(budget, *this, now)
    {
    }
    void giveUpRequest() override { ++givenUp; }
    void closeForOthers() override { ++closed; }

    unsigned givenUp = 0;
    unsigned closed = 0;
    CallerBudget::Account account;
};

constexpr CallerBudgetLimits limits { 3, 1'000, 500 };

Instant at(int64_t ms) { return instantFromMillis(100'000 + ms); }

}

// Requests that are never finished use up the memory, and others are refused for as long as they stay.
TEST_CASE("the unfinished request that has held most for longest gives way")
{
    CallerBudget budget(limits);
    TestConnection large(budget, at(0));
    TestConnection small(budget, at(0));
    TestConnection ordinary(budget, at(0));
    for (TestConnection* connection : { &large, &small, &ordinary })
        connection->account.beginRequest(at(0));
    REQUIRE(large.account.holdRequest(700, at(0)));
    REQUIRE(small.account.holdRequest(300, at(0)));
    SUBCASE("but not within its first second")
    {
        CHECK_FALSE(ordinary.account.holdRequest(100, at(999)));
        CHECK(large.givenUp + small.givenUp == 0);
    }
    SUBCASE("after that")
    {
        CHECK(ordinary.account.holdRequest(700, at(1'000)));
        CHECK(large.givenUp == 1);
        CHECK(small.givenUp == 0);
        CHECK(budget.requestBytes() == 1'000);
        CHECK_FALSE(large.account.holdRequest(1, at(1'001)));
    }
    SUBCASE("unless it is complete and being processed")
    {
        large.account.finishRequest();
        small.account.finishRequest();
        CHECK_FALSE(ordinary.account.holdRequest(100, at(5'000)));
    }
    SUBCASE("and none for a request that no memory would be enough for")
    {
        CHECK_FALSE(ordinary.account.holdRequest(1'001, at(5'000)));
        CHECK(large.givenUp + small.givenUp == 0);
    }
}

// A slow upload loses its place to callers that announce a body and send a byte of it now and then.
TEST_CASE("a slow upload makes progress, and a byte now and then is none")
{
    CallerBudget budget(limits);
    TestConnection slow(budget, at(0));
    TestConnection dripping(budget, at(0));
    TestConnection ordinary(budget, at(0));
    for (TestConnection* connection : { &slow, &dripping, &ordinary })
        connection->account.beginRequest(at(0));
    REQUIRE(slow.account.holdRequest(800, at(0)));
    REQUIRE(dripping.account.holdRequest(200, at(0)));
    for (int64_t i = 1; i <= 6; ++i) {
        slow.account.noteReceived(static_cast<size_t>(i) * 100, at(i * 900));
        dripping.account.noteReceived(static_cast<size_t>(i), at(i * 900));
    }
    CHECK(ordinary.account.holdRequest(100, at(6'000)));
    CHECK(slow.givenUp == 0);
    CHECK(dripping.givenUp == 1);
}

// Callers that ask for large responses and don't read them have all other requests refused.
TEST_CASE("a connection whose response isn't read is closed for others")
{
    CallerBudget budget(limits);
    TestConnection reader(budget, at(0));
    TestConnection other(budget, at(0));
    reader.account.addResponse(500, at(0));
    reader.account.waitForReader(at(0));
    CHECK_FALSE(budget.admitResponse(at(999)));
    CHECK(budget.admitResponse(at(1'000)));
    CHECK(reader.closed == 1);
    CHECK(budget.responseBytes() == 0);
    reader.account.removeResponse(500); // as its connection ends
    CHECK(budget.responseBytes() == 0);
}

// Responses that become ready at the same moment don't exceed the memory, although none has waited for long.
TEST_CASE("the largest responses that aren't read are closed when the memory of all is used up")
{
    CallerBudget budget(limits);
    TestConnection large(budget, at(0));
    TestConnection ordinary(budget, at(0));
    large.account.addResponse(1'400, at(0));
    ordinary.account.addResponse(200, at(0));
    CHECK(large.closed == 1);
    CHECK(ordinary.closed == 0);
    CHECK(budget.responseBytes() == 200);
}

// Idle connections use up the descriptors.
TEST_CASE("at the limit of connections the one that has waited longest for its caller is closed")
{
    CallerBudget budget(limits);
    TestConnection busy(budget, at(0));
    TestConnection idle(budget, at(100));
    TestConnection young(budget, at(4'500));
    busy.account.beginRequest(at(0));
    busy.account.finishRequest();
    CHECK(budget.admitConnection(at(5'000)));
    CHECK(idle.closed == 1);
    CHECK_FALSE(budget.admitConnection(at(5'000)));
    CHECK(busy.closed + young.closed == 0);
}

TEST_CASE("all memory is free again when the connections have gone")
{
    CallerBudget budget(limits);
    {
        TestConnection connection(budget, at(0));
        connection.account.beginRequest(at(0));
        REQUIRE(connection.account.holdRequest(300, at(0)));
        connection.account.finishRequest();
        connection.account.beginRequest(at(0));
        REQUIRE(connection.account.holdRequest(100, at(0)));
        connection.account.addResponse(50, at(0));
        CHECK(budget.requestBytes() == 400);
        CHECK(budget.responseBytes() == 50);
    }
    CHECK(budget.requestBytes() == 0);
    CHECK(budget.responseBytes() == 0);
}
