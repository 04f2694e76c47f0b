#include "decisions/Admission.h"
#include "decisions/RetryBudget.h"

#include <doctest/doctest.h>

using namespace cumindale;

namespace {

constexpr Instant now = instantFromMillis(100'000);
constexpr Instant farAway = now + Millis(60'000);
constexpr auto interactive = PriorityClass::Interactive;
constexpr auto background = PriorityClass::Background;

// A server with one slot, already busy.
Admission busyAdmission()
{
    Admission admission({});
    admission.setLimit(1);
    admission.requestSlot(1, interactive, now, now, farAway);
    return admission;
}

}

TEST_CASE("a request whose deadline can't be met is refused immediately, with the expected wait")
{
    Admission admission = busyAdmission();
    for (TicketId i = 2; i < 10; ++i)
        CHECK(admission.requestSlot(i, interactive, now, now, farAway) == Admission::Verdict::Queued);
    CHECK(admission.expectedWait(interactive) >= Millis(45)); // eight requests ahead, 5 ms each
    CHECK(admission.requestSlot(99, interactive, now, now, now + Millis(20)) == Admission::Verdict::Refused);
}

TEST_CASE("lookups overtake archive reads, and archive reads get their share however long the overload lasts")
{
    // Guards against lookups that wait behind archive reads, and against archive reads that starve.
    Admission admission = busyAdmission();
    TicketId next = 2;
    for (; next < 102; ++next)
        CHECK(admission.requestSlot(next, background, now, now, farAway) == Admission::Verdict::Queued);
    size_t archives = 0;
    size_t lookups = 0;
    size_t archivesBeforeFirstLookup = 0;
    for (int i = 0; i < 700; ++i) {
        admission.requestSlot(next++ + 1'000'000, interactive, now, now, farAway);
        admission.releaseSlot(interactive, Millis(5));
        const bool archive = *admission.startNext() < 1'000'000;
        archives += archive;
        lookups += !archive;
        archivesBeforeFirstLookup += archive && !lookups;
    }
    CHECK(archivesBeforeFirstLookup <= 1);
    CHECK(archives >= 95); // a seventh of the starts
    CHECK(lookups >= 595);
}

TEST_CASE("within a class the oldest request starts first, even if it joined the queue later")
{
    Admission admission = busyAdmission();
    admission.requestSlot(2, interactive, now - Millis(10), now, farAway);
    admission.requestSlot(3, interactive, now - Millis(90), now, farAway); // moved here from another queue
    admission.releaseSlot(interactive, Millis(5));
    CHECK(*admission.startNext() == 3);
}

TEST_CASE("an idle class accumulates no credit")
{
    Admission admission = busyAdmission();
    for (TicketId i = 2; i < 8; ++i)
        admission.requestSlot(i, interactive, now, now, farAway);
    for (int i = 0; i < 5; ++i) {
        admission.releaseSlot(interactive, Millis(5));
        admission.startNext();
    }
    for (TicketId i = 100; i < 110; ++i)
        admission.requestSlot(i, PriorityClass::Submission, now, now, farAway);
    admission.requestSlot(200, interactive, now, now, farAway);
    size_t submissionsInARow = 0;
    for (; submissionsInARow < 10; ++submissionsInARow) {
        admission.releaseSlot(interactive, Millis(5));
        if (*admission.startNext() < 100)
            break;
    }
    CHECK(submissionsInARow <= 2);
}

TEST_CASE("under overload the queue stays short, and queued archive reads delay lookups by their share only")
{
    // Guards against a queue that is bounded by its length alone: all lookups come seconds late, while the servers
    // work on lookups whose callers have given up.
    Admission admission = busyAdmission();
    for (TicketId i = 0; i < 100; ++i)
        CHECK(admission.requestSlot(100 + i, background, now, now, farAway) == Admission::Verdict::Queued);
    size_t taken = 0;
    for (TicketId i = 0; i < 100; ++i)
        taken += admission.requestSlot(1000 + i, interactive, now, now, farAway) == Admission::Verdict::Queued;
    CHECK(taken == 8); // 5 ms each within 50 ms, with six sevenths of the server's time
}

TEST_CASE("requests in flight never exceed the limit, and a withdrawn request never starts")
{
    Admission admission({});
    admission.setLimit(2);
    for (TicketId i = 1; i <= 4; ++i)
        admission.requestSlot(i, PriorityClass::Submission, now, now, farAway);
    CHECK(admission.inFlight() == 2);
    CHECK(admission.withdraw(3));
    CHECK_FALSE(admission.withdraw(3));
    CHECK_FALSE(admission.startNext().has_value());
    admission.releaseSlot(PriorityClass::Submission, Millis(5));
    CHECK(*admission.startNext() == 4);
    CHECK_FALSE(admission.startNext().has_value());
}

TEST_CASE("retries stay within their ratio to first attempts")
{
    RetryBudget budget({ 0.10, 10 });
    unsigned spent = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.deposit();
        spent += budget.tryWithdraw();
    }
    CHECK(spent <= 110); // the burst and a tenth of the requests
    CHECK(spent >= 100);
}
