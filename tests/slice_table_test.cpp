#include "decisions/SliceTable.h"
#include "decisions/TableCodec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cumindale;

namespace {

// Generates an arbitrary valid table.
SliceTable anyTable()
{
    SliceTable table;
    table.service = "tracing";
    table.version = *rc::gen::inRange<uint64_t>(1, 1'000'000);
    table.workLimit = Millis(*rc::gen::inRange(1, 100'000));
    table.inFlightWorkLimit = table.workLimit + Millis(*rc::gen::inRange(0, 1'000));
    table.loweredInVersion = table.inFlightWorkLimit > table.workLimit ? 1 : 0;
    const auto servers = *rc::gen::inRange<size_t>(1, 20);
    for (size_t i = 0; i < servers; ++i)
        table.servers.push_back("server-" + std::to_string(i));
    auto begins = *rc::gen::container<std::set<uint64_t>>(rc::gen::arbitrary<uint64_t>());
    begins.insert(0);
    table.nextFence = begins.size() + 1;
    uint64_t fence = 0;
    for (const uint64_t begin : begins) {
        Slice slice;
        slice.begin = begin;
        slice.state = static_cast<SliceState>(*rc::gen::inRange(0, 3));
        slice.fence = ++fence;
        if (slice.state != SliceState::Unowned)
            slice.owner = *rc::gen::inRange<ServerIndex>(0, static_cast<ServerIndex>(servers));
        if (slice.state == SliceState::Stopping) {
            slice.stoppedInVersion = *rc::gen::inRange<uint64_t>(1, table.version + 1);
            slice.successor = *rc::gen::element(noServer, ServerIndex(0));
        }
        table.slices.push_back(slice);
    }
    return table;
}

}

TEST_CASE("a table decodes to the same table, and damaged or truncated bytes are rejected")
{
    CHECK(rc::check([] {
        const SliceTable table = anyTable();
        const std::string bytes = encodeTable(table);
        const auto decoded = decodeTable(bytes);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == table);
        std::string damaged = bytes;
        damaged[*rc::gen::inRange<size_t>(0, bytes.size())] ^= static_cast<char>(*rc::gen::inRange(1, 256));
        RC_ASSERT(!decodeTable(damaged).has_value());
        RC_ASSERT(
            !decodeTable(std::string_view(bytes).substr(0, *rc::gen::inRange<size_t>(0, bytes.size()))).has_value());
    }));
}

TEST_CASE("arbitrary bytes are rejected without reading out of bounds")
{
    CHECK(rc::check([](const std::string& bytes) { RC_ASSERT(!decodeTable(bytes).has_value()); }));
}

TEST_CASE("the index finds the same slice as a binary search of the table")
{
    CHECK(rc::check([](uint64_t point) {
        const SliceTable table = anyTable();
        const SliceIndex index(table);
        RC_ASSERT(index.indexOf(point) == table.indexOf(point));
        for (size_t i = 0; i < table.slices.size(); ++i) {
            RC_ASSERT(index.indexOf(table.slices[i].begin) == i);
            RC_ASSERT(index.indexOf(table.lastPointOf(i)) == i);
        }
    }));
}

TEST_CASE("a split keeps owner and fence in both parts, and changes nothing else")
{
    CHECK(rc::check([](uint64_t point) {
        const SliceTable before = anyTable();
        SliceTable table = before;
        const size_t at = table.splitAt(point);
        RC_ASSERT(table.slices[at].begin == point);
        RC_ASSERT(table.slices[at].owner == before.slices[before.indexOf(point)].owner);
        RC_ASSERT(validationError(table).empty());
        RC_ASSERT(table.slices[at].fence == before.slices[before.indexOf(point)].fence);
        if (table != before)
            table.slices.erase(table.slices.begin() + static_cast<ptrdiff_t>(at));
        RC_ASSERT(table == before); // only the new slice was added
    }));
}
