#include "resources/GrantTableCodec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cumindale;

namespace {

GrantTable randomTable(uint64_t edition)
{
    GrantTable table;
    table.service = "s";
    table.coordinator = "host-a";
    table.edition = { 7, edition };
    table.highestFence = 99;
    uint32_t first = 0;
    while (first < keySpaceSize) {
        KeyRange range;
        range.first = first;
        const auto size = static_cast<uint32_t>(*rc::gen::inRange(1, 30'000));
        range.last = std::min(keySpaceSize - 1, first + size - 1);
        range.holder = *rc::gen::element<std::string>("a", "b", "c");
        range.fence = static_cast<uint64_t>(*rc::gen::inRange(1, 5));
        if (*rc::gen::inRange(0, 3) == 0) {
            range.next = "d";
            range.nextFence = 6;
            range.holderState = static_cast<HolderState>(*rc::gen::inRange(0, 3));
        }
        table.ranges.push_back(range);
        first = range.last + 1;
    }
    return table;
}

}

TEST_CASE("a table is unchanged after encoding and decoding")
{
    rc::check([] {
        const GrantTable table = randomTable(3);
        const auto read = decodeGrantTable(encodeGrantTable(table));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->ranges == table.ranges);
        RC_ASSERT(read->edition == table.edition);
        RC_ASSERT(read->highestFence == table.highestFence);
        RC_ASSERT(read->coordinator == table.coordinator);
    });
}

TEST_CASE("an encoded change turns the earlier edition into the later one")
{
    rc::check([] {
        const GrantTable earlier = randomTable(3);
        const GrantTable later = randomTable(4);
        const auto change = decodeGrantChange(encodeGrantChange(changeBetween(earlier, later)));
        RC_ASSERT(change.has_value());
        const GrantTable made = applyChange(earlier, *change);
        RC_ASSERT(made.ranges == later.ranges);
        RC_ASSERT(made.edition == later.edition);
    });
}

TEST_CASE("a table with a gap or a malformed table is rejected")
{
    CHECK_FALSE(decodeGrantTable("{}"));
    CHECK_FALSE(decodeGrantTable("[1,2"));
    CHECK_FALSE(decodeGrantTable(
        R"({"service":"s","term":1,"edition":1,"highestFence":1,"ranges":[[0,10,"a",1],[12,65535,"b",1]]})"));
    CHECK_FALSE(decodeGrantTable(R"({"service":"s","term":1,"edition":1,"highestFence":1,"ranges":[[0,"x","a",1]]})"));
    CHECK(decodeListedHosts(encodeListedHosts({ "a", "b" })).size() == 2);
    CHECK(decodeListedHosts("{").empty());
}

TEST_CASE("a key is found in its range")
{
    const auto table = decodeGrantTable(
        R"({"service":"s","term":1,"edition":1,"highestFence":1,"ranges":[[0,10,"a",1],[11,65535,"b",1]]})");
    REQUIRE(table);
    CHECK(table->find(0)->holder == "a");
    CHECK(table->find(10)->holder == "a");
    CHECK(table->find(11)->holder == "b");
    CHECK(table->find(65'535)->holder == "b");
}
