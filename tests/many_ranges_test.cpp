// Leases of a service with thousands of ranges, which one coordinator renews.
#include "decisions/GrantPlan.h"

#include <chrono>
#include <doctest/doctest.h>

using namespace cumindale;

namespace {

GrantPlan::Servers serversFor(size_t count)
{
    GrantPlan::Servers servers;
    for (size_t i = 0; i < count; ++i) {
        RegisteredServer server;
        server.id = "i-" + std::to_string(10'000 + i) + "@0";
        server.service = "desk";
        server.slots = 4;
        servers[server.id] = server;
    }
    return servers;
}

const Instant begin = Instant {} + Millis(1'000'000);

// Runs the plan against servers that answer at once. Returns the grants of the last `counted` of `time`.
struct Run {
    GrantPlan plan { "desk", {}, 7 };
    size_t grants = 0;
    size_t lapsed = 0; // renewals that came after the lease had ended
    Millis longestLease { 0 };
    std::map<std::pair<uint32_t, uint32_t>, Instant> expiry;

    void run(const GrantPlan::Servers& servers, Instant from, Millis time, Instant countFrom)
    {
        for (Instant now = from; now - from < time; now = now + Millis(30)) {
            plan.maintain(servers, now);
            for (const auto& order : plan.due(now)) {
                if (plan.needsWrite(now) && order.leaseDuration > Millis(3'000))
                    CHECK(order.leaseDuration <= plan.table().longestLease);
                REQUIRE(plan.fenceToSend(order, false));
                Instant& until = expiry[{ order.first, order.last }];
                lapsed += until != Instant {} && now > until;
                until = now + order.leaseDuration;
                grants += now >= countFrom;
                longestLease = std::max(longestLease, order.leaseDuration);
                plan.onAnswer({ order.range, order.number, OrderResult::Done, {}, now });
            }
            if (plan.needsWrite(now))
                plan.onWritten(plan.edition(), now);
        }
    }
};

}

// Guards against a coordinator that can't keep up: with a lease of three seconds for each of 6,689 ranges it would have
// to renew more ranges a second than its host has processor time for, and leases would lapse by turns.
TEST_CASE("renewals a second stay bounded, and each range is renewed three times in a lease")
{
    for (const size_t ranges : { 200, 1'000, 2'000, 4'000, 6'689 }) {
        CAPTURE(ranges);
        Run run;
        run.plan.begin(begin);
        run.run(serversFor(ranges), begin, Millis(25'000), begin + Millis(15'000));
        CHECK(run.lapsed == 0);
        const double perSecond = static_cast<double>(run.grants) / 10;
        CHECK(perSecond <= 1.05 * GrantTiming {}.maxRenewalsPerSecond);
        CHECK(perSecond >= 2.5 * static_cast<double>(ranges) * 1000 / static_cast<double>(run.longestLease.count()));
        CHECK(run.longestLease <= GrantTiming {}.maxLeaseDuration);
        if (ranges <= 2'000)
            CHECK(run.longestLease == GrantTiming {}.leaseDuration); // small fleets pay nothing
    }
}

// Guards against two owners after a change of coordinator: the keys of a server that doesn't answer the new one are
// given to another while the server still has them by a long lease.
TEST_CASE("a new coordinator waits for the longest lease that the table in the store allows")
{
    Run first;
    first.plan.begin(begin);
    const auto servers = serversFor(6'000);
    first.run(servers, begin, Millis(6'000), begin);
    REQUIRE(first.longestLease > Millis(8'000));
    const GrantTable table = first.plan.table();
    CHECK(table.longestLease >= first.longestLease);

    GrantPlan next("desk", {}, 8);
    const Instant now = begin + Millis(6'000);
    next.takeOver(table, now);
    next.onPreviousStopped(now);
    next.onWritten(next.edition(), now);
    auto left = servers;
    const std::string lost = table.ranges.front().holder;
    left.erase(lost);
    Instant granted {};
    for (Instant time = now; time - now < Millis(14'000) && granted == Instant {}; time = time + Millis(30)) {
        next.maintain(left, time);
        for (const auto& order : next.due(time)) {
            const bool toNext = order.first == table.ranges.front().first && order.server != lost;
            if (toNext && order.kind == GrantOrder::Kind::Grant)
                granted = time;
            next.fenceToSend(order, false);
            const auto result = order.server == lost ? OrderResult::Unanswered : OrderResult::Done;
            next.onAnswer({ order.range, order.number, result, {}, time });
        }
        next.onWritten(next.edition(), time);
    }
    REQUIRE(granted != Instant {});
    CHECK(granted - now >= table.longestLease);
}

namespace {

// The server with the fewest keys for each slot, of those that stay, by a search through all ranges and servers.
std::string leastLoaded(const std::vector<KeyRange>& ranges, const GrantPlan::Servers& servers)
{
    std::map<std::string, double> load;
    for (const auto& range : ranges) {
        const std::string& owner = range.moving() ? range.next : range.holder;
        load[owner] += static_cast<double>(range.size()) / servers.at(owner).slots;
    }
    std::string best;
    for (const auto& [id, server] : servers) {
        if (!server.leaving && (best.empty() || load[id] < load[best]))
            best = id;
    }
    return best;
}

void markLeaving(GrantPlan::Servers& servers, size_t count, size_t each)
{
    size_t index = 0;
    for (auto& [id, server] : servers) {
        if (index % each == 0 && index / each < count)
            server.leaving = true;
        ++index;
    }
}

std::chrono::nanoseconds timeOfMaintain(size_t ranges, size_t leaving)
{
    Run run;
    run.plan.begin(begin);
    auto servers = serversFor(ranges);
    run.run(servers, begin, Millis(1'000), begin);
    markLeaving(servers, leaving, 3);
    const auto before = std::chrono::steady_clock::now();
    run.plan.maintain(servers, begin + Millis(1'000));
    return std::chrono::steady_clock::now() - before;
}

}

TEST_CASE("each range of a leaving server moves to the server with the fewest keys for each slot at that moment")
{
    Run run;
    run.plan.begin(begin);
    auto servers = serversFor(150);
    unsigned slots = 1;
    for (auto& [id, server] : servers)
        server.slots = slots++ % 5 + 1;
    run.run(servers, begin, Millis(1'000), begin);
    auto expected = run.plan.table().ranges;
    markLeaving(servers, 60, 2);
    for (auto& range : expected) {
        if (servers.at(range.holder).leaving)
            range.next = leastLoaded(expected, servers);
    }
    run.plan.maintain(servers, begin + Millis(1'000));
    const auto planned = run.plan.table().ranges;
    REQUIRE(planned.size() == expected.size());
    for (size_t i = 0; i < planned.size(); ++i)
        CHECK(planned[i].next == expected[i].next);
}

// A search through all ranges and servers for each range held the coordinator's loop for three seconds when 134 of
// 10,000 servers left, and its leadership lapsed.
TEST_CASE("planning for hundreds of leaving servers takes little more than for one")
{
    constexpr size_t ranges = 6'689;
    const auto one = timeOfMaintain(ranges, 1);
    const auto many = timeOfMaintain(ranges, 400);
    MESSAGE("one: ", one.count() / 1'000, " us, 400: ", many.count() / 1'000, " us");
    CHECK(many < 10 * one);
}
