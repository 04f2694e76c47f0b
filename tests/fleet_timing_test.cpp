// Times that depend on the number of hosts, and the relations that must hold between them.
#include "decisions/FleetTiming.h"
#include "decisions/LeadershipRules.h"

#include <doctest/doctest.h>
#include <string>

using namespace cumindale;

namespace {

constexpr size_t sizes[] = { 1, 3, 10, 80, 100, 384, 400, 984, 1'000, 1'968, 2'000, 11'000 };

std::set<std::string, std::less<>> hostNames(size_t count)
{
    std::set<std::string, std::less<>> names;
    for (size_t i = 0; i < count; ++i)
        names.insert("host-" + std::to_string(i));
    return names;
}

}

TEST_CASE("at every size a report outlives the next one, also if one is lost, and a host outlives two lost reports")
{
    for (const size_t hosts : sizes) {
        CAPTURE(hosts);
        const FleetTiming timing = fleetTiming(hosts);
        CHECK(timing.reportInterval >= minReportInterval);
        CHECK(timing.reportInterval <= maxReportInterval);
        CHECK(timing.reportLifetime >= 2 * timing.reportInterval + reportTimeout);
        CHECK(timing.hostTimeout >= 3 * timing.reportInterval + reportTimeout);
        CHECK(timing.maxShortOutage >= timing.reportInterval + reportTimeout + Millis(900)); // age of the last answer
        CHECK(timing.serverUseLifetime >= 2 * timing.reportInterval);
        CHECK(timing.reportLifetime < LeadershipTiming {}.maxWithoutStore);
    }
    CHECK(fleetTiming(1).reportLifetime == Millis(1'200)); // small fleets pay nothing
    CHECK(fleetTiming(100).reportLifetime == Millis(1'200));
}

// Guards against an outage of the store that costs all keys. With reports every two seconds that were believed for 1.2
// seconds, fewer than half of 984 hosts counted at any moment, so the coordinator stopped renewing leases.
TEST_CASE("without the store a coordinator goes on while its hosts report, at every size")
{
    for (const size_t hosts : sizes) {
        CAPTURE(hosts);
        LeadershipRules rules({});
        rules.setListedHosts(hostNames(hosts));
        const Millis interval = fleetTiming(hosts).reportInterval;
        const Instant begin = Instant {} + Millis(1'000'000);
        for (Instant now = begin; now - begin <= Millis(10'000); now = now + Millis(50)) {
            for (size_t i = 0; i < hosts; ++i) {
                // Hosts report one after the other, evenly over the interval.
                const Millis offset = interval * static_cast<int64_t>(i) / static_cast<int64_t>(hosts);
                if ((now - begin - offset) % interval < Millis(50))
                    rules.onReport("host-" + std::to_string(i), now);
            }
            if (now - begin > interval)
                CHECK(rules.mayAct(begin - Millis(2'000), now));
        }
    }
}

// Guards against two coordinators that act at once: the answer to a write of the list is lost, and the new coordinator
// goes by the list in the store, whose hosts report more often than those of the list that the previous one goes by.
TEST_CASE("a coordinator stops before its successor relies on it, whichever of its lists is in the store")
{
    for (const size_t before : sizes) {
        for (const size_t after : sizes) {
            for (const bool tookEffect : { false, true }) {
                CAPTURE(before);
                CAPTURE(after);
                LeadershipRules previous({});
                previous.setListedHosts(hostNames(before));
                previous.onListWriteBegun(after);
                LeadershipRules next({});
                next.setListedHosts(hostNames(tookEffect ? after : before));
                next.setListedHosts(hostNames(3)); // its own list
                const Instant lastReport = Instant {} + Millis(1'000'000);
                for (const auto& host : hostNames(before))
                    previous.onReport(host, lastReport);
                CHECK_FALSE(previous.mayAct(lastReport - Millis(2'000), next.previousStoppedBy(lastReport)));
            }
        }
    }
}

// Guards against hosts that all ask the same two, and against more watches than the store's link carries.
TEST_CASE("hosts that answer others grow with the fleet, and fall with the number of servers")
{
    CHECK(answeringHosts(100, 100) == 4);
    CHECK(answeringHosts(984, 10'000) == 15);
    CHECK(answeringHosts(11'000, 1'000) == 171);
    for (const size_t hosts : { 1U, 984U, 11'000U }) {
        for (const size_t servers : { 0U, 1U, 10'000U, 100'000U, 1'000'000U }) {
            const size_t answering = answeringHosts(hosts, servers);
            CHECK((answering == 0 || storeCarriesAllWatches(answering, servers)));
        }
    }
}

TEST_CASE("a host that has missed more than each entry twice reads the store instead of its history")
{
    CHECK(historyIsCheaperThanRead(fleetTiming(984).maxShortOutage));
    CHECK(historyIsCheaperThanRead(Millis(10'000)));
    CHECK_FALSE(historyIsCheaperThanRead(Millis(10'001)));
}

// A third of the fleet were candidates when a coordinator was lost, each with three calls to the store.
TEST_CASE("weak hosts of large fleets leave strong ones the time to be elected and known")
{
    CHECK(fleetTiming(10).weakCandidateDelay == Millis(150));
    CHECK(fleetTiming(984).weakCandidateDelay >= Millis(1'000));
    for (const size_t hosts : sizes)
        CHECK(fleetTiming(hosts).weakCandidateDelay < LeadershipTiming {}.lease);
}
