// Tracking of the store's changes that a host knows, and repetition of those that it missed.
#include "decisions/ChangeHistory.h"
#include "decisions/KnownChanges.h"
#include "decisions/RelayPlan.h"
#include "peers/Deflate.h"

#include <algorithm>
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

TEST_CASE("known changes are complete up to the first unknown one, in whatever order they are received")
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

TEST_CASE("a read of the store closes the gap before changes received meanwhile")
{
    KnownChanges known;
    known.markCompleteUpTo(35);
    known.add(37, 40);
    known.add(40, 41);
    CHECK(known.complete() == 35);
    known.markCompleteUpTo(38);
    CHECK(known.complete() == 41);
}

TEST_CASE("a host receives just the changes after the revision that it knows")
{
    ChangeHistory history;
    const std::vector<ItemChange> first { changeAt(11), changeAt(14) };
    const std::vector<ItemChange> second { changeAt(20) };
    history.add(10, 14, first);
    history.add(14, 20, second);
    CHECK(revisionsOf(*history.changesSince(10)) == std::vector<int64_t> { 11, 14, 20 });
    // Revision 12 is known from a read of the store.
    CHECK(revisionsOf(*history.changesSince(12)) == std::vector<int64_t> { 14, 20 });
    CHECK(history.changesSince(20)->empty());
    CHECK_FALSE(history.changesSince(9));
    SUBCASE("changes before a gap can't be repeated")
    {
        const std::vector<ItemChange> third { changeAt(31) };
        history.add(30, 31, third);
        CHECK_FALSE(history.changesSince(20));
        CHECK(revisionsOf(*history.changesSince(30)) == std::vector<int64_t> { 31 });
    }
}

// Guards against a new coordinator that can repeat nothing to hosts that are behind: documents overtake the entries of
// servers on their way to it, and the history began anew with each of them.
TEST_CASE("a change that precedes others and arrives after them closes the gap")
{
    ChangeHistory history;
    const auto add = [&](int64_t after, int64_t last) {
        std::vector<ItemChange> changes;
        for (int64_t revision = after + 1; revision <= last; ++revision)
            changes.push_back(changeAt(revision));
        history.add(after, last, changes);
    };
    add(0, 5);
    add(7, 8); // a document
    CHECK(history.last() == 8);
    CHECK_FALSE(history.changesSince(6));
    add(5, 6);
    CHECK_FALSE(history.changesSince(6));
    add(6, 7);
    add(8, 9);
    CHECK(revisionsOf(*history.changesSince(0)) == std::vector<int64_t> { 1, 2, 3, 4, 5, 6, 7, 8, 9 });
    // A copy of something that isn't followed by all that the history knows.
    add(2, 4);
    const std::vector<ItemChange> outside { changeAt(3) };
    history.add(7, 7, outside);
    CHECK(history.last() == 9);
    CHECK(history.changesSince(0)->size() == 9);
}

TEST_CASE("the history repeats all changes after a revision or none, in whatever order they are received")
{
    CHECK(rc::check([] {
        ChangeHistory history;
        int64_t newest = 0;
        const auto messages = *rc::gen::container<std::vector<std::pair<int64_t, int64_t>>>(
            rc::gen::pair(rc::gen::inRange<int64_t>(0, 60), rc::gen::inRange<int64_t>(0, 9)));
        for (const auto& [after, count] : messages) {
            std::vector<ItemChange> changes;
            for (int64_t revision = after + 1; revision <= after + count; ++revision)
                changes.push_back(changeAt(revision));
            history.add(after, after + count, changes);
            newest = std::max(newest, after + count);
            RC_ASSERT(history.last() == newest);
            for (int64_t known = 0; known <= newest; ++known) {
                const auto missed = history.changesSince(known);
                if (!missed)
                    continue;
                std::vector<int64_t> expected;
                for (int64_t revision = known + 1; revision <= newest; ++revision)
                    expected.push_back(revision);
                RC_ASSERT(revisionsOf(*missed) == expected);
            }
        }
    }));
}

TEST_CASE("the history has a size limit and omits large values")
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

// Guards against a change of routes that took effect 3.1 s late on hosts with links of 10 Mbit/s, where the limit is
// 2.5 s: a document of 4,219 routes, 0.8 MB, was sent uncompressed to each of them.
TEST_CASE("a document of routes is compressed to less than a tenth and decompressed without loss")
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

// Guards against a change of routes that took effect late on hosts with small links: the document takes such a link
// 0.6 s, and each message with it timed out after 0.3 s.
TEST_CASE("the timeout of a large message exceeds its transfer time on the smallest link")
{
    constexpr size_t document = 700'000;
    constexpr size_t smallestLink = 1'250; // bytes per ms
    CHECK(deliveryTimeout(300) == Millis(300));
    CHECK(deliveryTimeout(document) > Millis(document / smallestLink));
    CHECK(deliveryTimeout(document) < Millis(1'250)); // half of the time within which routes must take effect
    constexpr size_t members = 11; // of a relay's group: all copies share its link
    CHECK(deliveryTimeout(document / 10, members) > Millis(members * document / 10 / smallestLink));
}

// Guards against hosts that must read everything, or wait for their answer, since the history is full of documents that
// nobody needs any more.
TEST_CASE("of several documents the newest one alone is kept, and all entries beside it")
{
    const std::string document = "config";
    ChangeHistory history({ 1'000, 1'000 }, [&](std::string_view key) { return key == document; });
    constexpr int64_t rounds = 20;
    int64_t revision = 0;
    for (int64_t round = 0; round < rounds; ++round) {
        const int64_t before = revision;
        const std::vector<ItemChange> changes { { "i-" + std::to_string(round), "entry", ++revision },
            { document, std::string(400, 'x'), ++revision } };
        history.add(before, revision, changes);
    }
    const auto missed = history.changesSince(0);
    REQUIRE(missed);
    CHECK(missed->size() == rounds + 1);
    CHECK(
        std::count_if(missed->begin(), missed->end(), [&](const auto& change) { return change.key == document; }) == 1);
    CHECK(missed->back().key == document);
    CHECK(missed->back().revision == revision);
    CHECK(history.changesSince(revision - 1)->size() == 1);
    CHECK(history.changesSince(revision)->empty());
    // An older document that arrives late doesn't replace the newer one.
    const std::vector<ItemChange> late { { document, "old", revision + 1 }, { document, "new", revision + 2 } };
    history.add(revision + 1, revision + 2, std::span(late).subspan(1));
    history.add(revision, revision + 1, std::span(late).first(1));
    REQUIRE(history.changesSince(revision));
    CHECK(history.changesSince(revision)->back().value == "new");
    CHECK(history.changesSince(revision)->size() == 1);
}
