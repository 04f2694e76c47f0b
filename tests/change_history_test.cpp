// What a host knows of the store's changes, and what it is told again of those that it missed.
#include "decisions/ChangeHistory.h"
#include "decisions/KnownChanges.h"
#include "decisions/RelayPlan.h"
#include "peers/Deflate.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace cumindale;

namespace {

ItemChange changeAt(int64_t revision, size_t bytes = 10)
{
    return { "servers/" + std::to_string(revision), std::string(bytes, 'x'), revision };
}

std::vector<int64_t> revisionsOf(const std::vector<ItemChange>& changes)
{
    std::vector<int64_t> revisions;
    revisions.reserve(changes.size());
    for (const auto& change : changes)
        revisions.push_back(change.revision);
    return revisions;
}

}

TEST_CASE("known changes are complete up to the first that is unknown, in whatever order they are heard of")
{
    CHECK(rc::check([] {
        constexpr int64_t maxRevision = 60;
        KnownChanges known;
        std::set<int64_t> received;
        const auto messages = *rc::gen::container<std::vector<std::pair<int64_t, int64_t>>>(
            rc::gen::pair(rc::gen::inRange<int64_t>(0, maxRevision), rc::gen::inRange<int64_t>(1, 9)));
        for (const auto& [after, count] : messages) {
            known.add(after, after + count);
            for (int64_t revision = after + 1; revision <= after + count; ++revision)
                received.insert(revision);
            int64_t complete = 0;
            while (received.count(complete + 1))
                ++complete;
            RC_ASSERT(known.complete() == complete);
        }
    }));
}

TEST_CASE("a reading closes the gap before what was heard meanwhile")
{
    KnownChanges known;
    known.markCompleteUpTo(35);
    known.add(37, 40);
    known.add(40, 41);
    CHECK(known.complete() == 35);
    known.markCompleteUpTo(38);
    CHECK(known.complete() == 41);
}

TEST_CASE("a host is told again just what follows what it knows")
{
    ChangeHistory history;
    const std::vector<ItemChange> first { changeAt(11), changeAt(14) };
    const std::vector<ItemChange> second { changeAt(20) };
    history.add(10, 14, first);
    history.add(14, 20, second);
    CHECK(revisionsOf(*history.changesSince(10)) == std::vector<int64_t> { 11, 14, 20 });
    CHECK(revisionsOf(*history.changesSince(12)) == std::vector<int64_t> { 14, 20 }); // known by a reading
    CHECK(history.changesSince(20)->empty());
    CHECK_FALSE(history.changesSince(9));
    SUBCASE("a gap in what was heard of ends what can be told again")
    {
        const std::vector<ItemChange> third { changeAt(31) };
        history.add(30, 31, third);
        CHECK_FALSE(history.changesSince(20));
        CHECK(revisionsOf(*history.changesSince(30)) == std::vector<int64_t> { 31 });
    }
}

TEST_CASE("the history is bounded, and leaves large values out")
{
    ChangeHistoryOptions options;
    options.maxBytes = 1'000;
    options.maxValueBytes = 100;
    ChangeHistory history(options);
    constexpr int64_t changes = 100;
    for (int64_t revision = 1; revision <= changes; ++revision) {
        const std::vector<ItemChange> one { changeAt(revision, 90) };
        history.add(revision - 1, revision, one);
    }
    CHECK_FALSE(history.changesSince(changes - 15));
    CHECK(history.changesSince(changes - 9)->size() == 9);

    const std::vector<ItemChange> large { changeAt(changes + 1, 700'000) };
    history.add(changes, changes + 1, large);
    const auto missed = history.changesSince(changes);
    REQUIRE(missed->size() == 1);
    CHECK(missed->front().value.empty());
    CHECK(missed->front().leftOutBytes == 700'000);
}

// A change of routes was in force 3.1 s late on hosts with links of 10 Mbit/s, where 2.5 s is the bound: a document of
// 4,219 routes, 0.8 MB, was sent in full to each of them.
TEST_CASE("a document of routes has a tenth of its bytes on its way, and is the same behind it")
{
    std::string document = R"({"version":14,"routes":[)";
    constexpr int routes = 4'219;
    for (int i = 0; i < routes; ++i) {
        const std::string name = "route" + std::to_string(i * 7919 % 99'991);
        document += R"({"name":")" + name + R"(","host":")" + name + R"(.example","path_prefix":"/)" + name
            + R"(/","route_type":"safe","timeout_s":2,"target_latency_s":0.4,"priority":2,"service":"desk"},)";
    }
    const std::string small = deflated(document);
    CHECK(small.size() * 10 < document.size());
    CHECK(inflated(small, document.size()) == document);
    CHECK_FALSE(inflated(small, document.size() - 1));
    CHECK_FALSE(inflated(small, document.size() + 1));
    CHECK_FALSE(inflated(small.substr(0, small.size() / 2), document.size()));
    CHECK_FALSE(inflated("no deflated text", 100));
    CHECK(inflated(deflated(""), 0) == "");
}

// A change of routes was in force late on hosts with small links: the document takes such a link 0.6 s, and each
// message with it was given up after 0.3 s.
TEST_CASE("a large message has the time that the smallest link takes for it")
{
    constexpr size_t document = 700'000;
    constexpr size_t smallestLink = 1'250; // bytes each ms
    CHECK(deliveryTimeout(300) == Millis(300));
    CHECK(deliveryTimeout(document) > Millis(document / smallestLink));
    CHECK(deliveryTimeout(document) < Millis(1'250)); // half of the time in which routes must be in force
}
