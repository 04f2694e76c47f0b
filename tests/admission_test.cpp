#include "decisions/Admission.h"
#include "decisions/RetryBudget.h"

#include <doctest/doctest.h>

using namespace cumindale;

namespace {

constexpr Instant now = instantFromMillis(100'000);
constexpr Instant farAway = now + Millis(60'000);

}

TEST_CASE("a request whose deadline can't be met is refused at once, with the wait to expect")
{
    Admission admission({});
    admission.setLimit(1);
    CHECK(admission.ask(1, PriorityClass::Interactive, now, now, farAway) == Admission::Verdict::Started);
    for (TicketId i = 2; i < 12; ++i)
        CHECK(admission.ask(i, PriorityClass::Interactive, now, now, farAway) == Admission::Verdict::Queued);
    CHECK(admission.expectedWait(PriorityClass::Interactive, now) >= Millis(50)); // ten ahead of it, 5 ms each
    CHECK(admission.ask(99, PriorityClass::Interactive, now, now, now + Millis(20)) == Admission::Verdict::Refused);
}

TEST_CASE("lookups pass archive reads, and an old archive read passes new lookups")
{
    Admission admission({});
    admission.setLimit(1);
    admission.ask(1, PriorityClass::Interactive, now, now, farAway);
    admission.ask(2, PriorityClass::Background, now, now, farAway);
    admission.ask(3, PriorityClass::Interactive, now + Millis(10), now, farAway);
    admission.ask(4, PriorityClass::Interactive, now + Millis(2500), now, farAway);
    std::vector<TicketId> order;
    for (int i = 0; i < 3; ++i) {
        admission.finished(Millis(5));
        order.push_back(*admission.startNext());
    }
    CHECK(order == std::vector<TicketId> { 3, 2, 4 });
}

TEST_CASE("under overload the queue stays short, and archive reads in it don't count against lookups")
{
    // A user would see every lookup late by seconds while the servers work on lookups whose callers have long
    // given up: the queue took in all that its length allowed.
    Admission admission({});
    admission.setLimit(1);
    admission.ask(1, PriorityClass::Interactive, now, now, farAway);
    for (TicketId i = 0; i < 100; ++i)
        CHECK(admission.ask(100 + i, PriorityClass::Background, now, now, farAway) == Admission::Verdict::Queued);
    size_t taken = 0;
    for (TicketId i = 0; i < 100; ++i)
        taken += admission.ask(1000 + i, PriorityClass::Interactive, now, now, farAway) == Admission::Verdict::Queued;
    CHECK(taken == 30); // 150 ms of 5 ms each
}

TEST_CASE("never more in flight than the limit, and a withdrawn request starts never")
{
    Admission admission({});
    admission.setLimit(2);
    for (TicketId i = 1; i <= 4; ++i)
        admission.ask(i, PriorityClass::Submission, now, now, farAway);
    CHECK(admission.inFlight() == 2);
    CHECK(admission.withdraw(3));
    CHECK_FALSE(admission.withdraw(3));
    CHECK_FALSE(admission.startNext().has_value());
    admission.finished(Millis(5));
    CHECK(*admission.startNext() == 4);
    CHECK_FALSE(admission.startNext().has_value());
}

TEST_CASE("retries stay within their share of first tries, whatever the order")
{
    RetryBudget budget({ 0.10, 10 });
    unsigned spent = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.firstTry();
        spent += budget.spend();
    }
    CHECK(spent <= 110); // the burst, and a tenth
    CHECK(spent >= 100);
}
