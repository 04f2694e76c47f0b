#include "decisions/FleetTiming.h"
#include "decisions/RulesFreshness.h"

#include <doctest/doctest.h>
#include <initializer_list>
#include <map>

using namespace cumindale;

namespace {

constexpr Millis deadline { 2'000 };

constexpr Instant at(int64_t ms) { return instantFromMillis(10'000 + ms); }

RulesFreshness withDocument(int64_t revision)
{
    RulesFreshness rules(deadline);
    rules.received(revision, true);
    rules.confirmed(revision, at(0), revision);
    return rules;
}

}

TEST_CASE("final answers rest on a document for less than the deadline after it was confirmed")
{
    RulesFreshness rules = withDocument(5);
    CHECK(rules.validity().until > at(0));
    CHECK(rules.validity().until > at(1'700));
    CHECK_FALSE(rules.validity().until > at(deadline.count()));
    rules.confirmed(5, at(1'500), 5);
    CHECK(rules.validity().until > at(3'200));
    CHECK_FALSE(rules.validity().until > at(3'500));
}

TEST_CASE("a document that nobody has confirmed, or no document, carries no final answer")
{
    RulesFreshness rules(deadline);
    CHECK_FALSE(rules.validity().until > at(0));
    rules.confirmed(0, at(0), 0);
    CHECK_FALSE(rules.validity().until > at(0));
    rules.received(5, true);
    CHECK(rules.validity().until > at(100));
    RulesFreshness unconfirmed(deadline);
    unconfirmed.received(5, true);
    CHECK_FALSE(unconfirmed.validity().until > at(0));
}

// Guards against 404 by a host that knows that it has missed a document.
TEST_CASE("a host that has heard of a newer document gives no final answer until it has the document")
{
    RulesFreshness rules = withDocument(5);
    rules.confirmed(7, at(100), 7);
    CHECK(rules.outdated());
    CHECK_FALSE(rules.validity().until > at(150));
    rules.received(7, true);
    CHECK(rules.validity().until > at(150));
    rules.announced(9);
    CHECK_FALSE(rules.validity().until > at(150));
}

// Guards against 404 by the document before one that the host can't read.
TEST_CASE("a document that the host can't use ends the final answers by the one before it")
{
    RulesFreshness rules = withDocument(5);
    rules.received(6, false);
    rules.confirmed(6, at(100), 6);
    CHECK_FALSE(rules.validity().until > at(150));
    rules.received(8, true);
    CHECK(rules.validity().until > at(150));
}

TEST_CASE("confirmations that arrive late or out of order take nothing back")
{
    RulesFreshness rules = withDocument(5);
    rules.received(7, true);
    rules.confirmed(7, at(1'000), 7);
    rules.confirmed(5, at(400), 5); // from a coordinator that had not heard of the document
    rules.received(5, true);
    CHECK(rules.revision() == 7);
    CHECK_FALSE(rules.outdated());
    CHECK(rules.validity().until > at(2'500));
}

TEST_CASE("a host asks the store for what follows the last revision at which its document was the newest one")
{
    RulesFreshness rules = withDocument(5);
    CHECK(rules.knownUpTo() == 5);
    rules.confirmed(5, at(100), 40);
    CHECK(rules.knownUpTo() == 40);
    rules.confirmed(45, at(200), 60); // a document that this host lacks
    CHECK(rules.knownUpTo() == 40);
    rules.received(45, true);
    CHECK(rules.knownUpTo() == 45);
}

// Guards against hosts that check the document for ever: their own checks are newer than the coordinator's word.
TEST_CASE("a host checks the document before it counts as unconfirmed, and only while nothing else confirms it")
{
    RulesFreshness rules = withDocument(5);
    CHECK(rules.nextCheck() > at(1'000));
    CHECK(rules.nextCheck() < rules.validity().until);
    rules.checked(5, at(1'300), 5);
    CHECK(rules.validity().until > at(2'900));
    CHECK(rules.nextCheck() <= at(1'300));
    rules.confirmed(5, at(900), 5); // by a coordinator, late but soon enough
    CHECK(rules.nextCheck() > at(1'900));
}

TEST_CASE("checks that wait for a change follow on each other before the document counts as unconfirmed")
{
    for (const Millis longest : { Millis(2'000), Millis(2'500), Millis(4'000) }) {
        RulesFreshness rules(longest);
        rules.received(5, true);
        rules.checked(5, at(0), 5);
        CHECK(at(0) + 2 * rules.watchDuration() < rules.validity().until);
    }
}

// Guards against hosts that all wait at the store for the next document although the coordinator answers them.
TEST_CASE("reports confirm the document before a check of it is due, at every size")
{
    constexpr Millis transfer { 100 }; // of a report and its answer
    constexpr Millis batchDelay { 120 };
    for (const Millis longest : { Millis(2'000), Millis(2'500), Millis(4'000), Millis(8'000) }) {
        for (const size_t hosts : { 1u, 10u, 80u, 300u, 984u, 2'000u, 11'000u }) {
            CAPTURE(longest.count());
            CAPTURE(hosts);
            const ConfirmationTiming timing = confirmationTiming(longest, fleetTiming(hosts).reportInterval);
            CHECK(timing.watchDuration <= maxWatchDuration);
            CHECK(timing.reportInterval <= fleetTiming(hosts).reportInterval);
            CHECK(timing.reportInterval >= minReportInterval);
            const Millis oldest = 2 * timing.watchDuration + batchDelay; // when the coordinator answers
            RulesFreshness rules(longest);
            rules.setReportInterval(fleetTiming(hosts).reportInterval);
            rules.received(5, true);
            rules.confirmed(5, at(10'000) - oldest, 5);
            CHECK(rules.nextCheck() >= at(10'000) + timing.reportInterval + transfer);
        }
    }
    // In the largest fleets hosts report as rarely as without documents.
    CHECK(confirmationTiming(Millis(4'000), maxReportInterval).reportInterval == maxReportInterval);
}

namespace {

// Hosts of a fleet whose coordinator has confirmed the document at at(0), by answers to reports.
RulesFreshness hostOf(size_t hosts, Millis longest)
{
    RulesFreshness rules(longest);
    rules.setReportInterval(fleetTiming(hosts).reportInterval);
    rules.received(5, true);
    rules.confirmed(5, at(0), 5);
    return rules;
}

double phaseOf(size_t host, size_t hosts) { return static_cast<double>(host) / static_cast<double>(hosts - 1); }

}

// Guards against a store that gets the calls of all hosts in the same moment, when their coordinator loses it.
TEST_CASE("the first checks of all hosts are spread, and end before the document counts as unconfirmed")
{
    for (const size_t hosts : { 80, 984, 11'000 }) {
        for (const Millis longest : { Millis(2'000), Millis(2'500), Millis(4'000) }) {
            CAPTURE(hosts);
            CAPTURE(longest.count());
            const RulesFreshness rules = hostOf(hosts, longest);
            const Instant answeredBy = rules.validity().until - Millis(250);
            std::map<int64_t, size_t> checksIn; // tenths of a second
            for (size_t host = 0; host < hosts; ++host) {
                const Instant next = rules.nextCheck(phaseOf(host, hosts));
                CHECK_FALSE(next > answeredBy);
                ++checksIn[toMillis(next) / 100];
            }
            for (const auto& [tenth, checks] : checksIn)
                CHECK(checks <= hosts / 2);
        }
    }
}

// Guards against calls of all hosts in the calm, where the coordinator's answers alone confirm the document.
TEST_CASE("no host checks the document before a report can have been answered, if the deadline leaves the time")
{
    constexpr Millis coordinatorAge { 900 }; // of its last poll
    const RulesFreshness large = hostOf(984, Millis(4'000));
    const RulesFreshness small = hostOf(80, Millis(2'000));
    for (const double phase : { 0.0, 0.5, 1.0 }) {
        CHECK(large.nextCheck(phase) > at(0) + fleetTiming(984).reportInterval + coordinatorAge);
        CHECK(small.nextCheck(phase) > at(0) + fleetTiming(80).reportInterval + coordinatorAge);
    }
}

// Hosts find at their reports that the coordinator has lost the store, or by the age of its word. Where checks
// follow on each other, the store gets one from each host in each watchDuration().
TEST_CASE("when a coordinator loses the store, its hosts' first checks come at most twice as fast as later ones")
{
    constexpr size_t hosts = 984;
    constexpr Millis noticedSilence { 1'500 };
    const RulesFreshness rules = hostOf(hosts, Millis(4'000));
    const Millis interval = fleetTiming(hosts).reportInterval;
    std::map<int64_t, size_t> checksIn; // fifths of a second
    for (size_t host = 0; host < hosts; ++host) {
        const double phase = phaseOf(host * 389 % hosts, hosts);
        Instant report = at(static_cast<int64_t>(host) * interval.count() / static_cast<int64_t>(hosts));
        while (report < at(0) + noticedSilence)
            report += interval;
        const Instant check = std::min(rules.nextCheck(phase), rules.checkAfterLoss(report, phase));
        CHECK_FALSE(check > rules.validity().until - Millis(250));
        ++checksIn[toMillis(check) / 200];
    }
    size_t most = 0;
    for (const auto& [fifth, checks] : checksIn)
        most = std::max(most, checks);
    const auto later = hosts * 200 / static_cast<size_t>(rules.watchDuration().count());
    MESSAGE(most, " checks in a fifth of a second, later ", later);
    CHECK(most <= 2 * later);
}

TEST_CASE("a host that finds its coordinator lost after the document counts as unconfirmed checks at once")
{
    const RulesFreshness rules = hostOf(984, Millis(4'000));
    CHECK(rules.checkAfterLoss(at(3'900), 1) == at(3'900));
    CHECK(rules.checkAfterLoss(at(2'000), 0) == at(2'000));
    CHECK(rules.checkAfterLoss(at(2'000), 1) < rules.validity().until);
}
