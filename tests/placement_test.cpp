#include "decisions/Placement.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cumindale;

namespace {

PlacementInput inputOf(size_t servers, unsigned slots = 4)
{
    PlacementInput input;
    for (size_t i = 0; i < servers; ++i) {
        const std::string number = std::to_string(i);
        input.servers.push_back({ "server-" + std::string(3 - std::min<size_t>(3, number.size()), '0') + number,
            "dc-" + std::to_string(i % 3), slots });
    }
    return input;
}

// Applies a plan as if all moves completed at once.
void apply(SliceTable& table, const PlacementInput& input, const std::vector<Move>& moves)
{
    for (const Move& move : moves) {
        Slice& slice = table.slices[move.slice];
        slice.owner = move.to == noServer ? noServer : table.internServer(input.servers[move.to].name);
        slice.state = move.to == noServer ? SliceState::Unowned : SliceState::Serving;
        slice.fence = table.nextFence++;
    }
}

SliceTable placed(const PlacementInput& input, const PlacementOptions& options = {})
{
    SliceTable table = initialTable("s", input, options);
    apply(table, input, planMoves(table, input, options));
    return table;
}

}

TEST_CASE("at the start every slice has an owner, evenly by slots")
{
    PlacementInput input = inputOf(20);
    input.servers[3].slots = 8;
    const SliceTable table = placed(input);
    CHECK(imbalanceOf(table, input) < 1.10);
    for (const auto& slice : table.slices)
        CHECK(slice.state == SliceState::Serving);
}

TEST_CASE("only a lost server's slices move")
{
    PlacementInput input = inputOf(20);
    const SliceTable table = placed(input);
    input.servers[7].usable = false;
    PlacementOptions noChurn;
    noChurn.churnBudget = 0;
    for (const Move& move : planMoves(table, input, noChurn)) {
        CHECK(table.serverName(table.slices[move.slice].owner) == "server-007");
        CHECK(input.servers[move.to].usable);
    }
}

TEST_CASE("no slice moves to an unusable server, pins are kept, and the same input gives the same plan")
{
    CHECK(rc::check([] {
        PlacementInput input = inputOf(*rc::gen::inRange<size_t>(2, 12));
        for (auto& server : input.servers)
            server.usable = *rc::gen::arbitrary<bool>();
        const uint64_t point = *rc::gen::arbitrary<uint64_t>();
        PlacementConstraint pin;
        pin.rule = PlacementRule::Pin;
        pin.points = { point };
        pin.servers = { input.servers.back().name };
        input.constraints.push_back(pin);
        SliceTable table = initialTable("s", input, {});
        splitForPlan(table, input, {});
        input.sliceLoad = *rc::gen::container<std::vector<double>>(
            table.slices.size(), rc::gen::map(rc::gen::inRange(0, 1000), [](int n) { return n * 1.0; }));
        for (int round = 0; round < 4; ++round) {
            const auto moves = planMoves(table, input, {});
            const auto again = planMoves(table, input, {});
            RC_ASSERT(moves.size() == again.size());
            for (size_t i = 0; i < moves.size(); ++i) {
                RC_ASSERT(moves[i].slice == again[i].slice);
                RC_ASSERT(moves[i].to == again[i].to);
                RC_ASSERT(moves[i].to == noServer || input.servers[moves[i].to].usable);
            }
            apply(table, input, moves);
            const Slice& pinned = table.slices[table.indexOf(point)];
            RC_ASSERT(pinned.begin == point);
            const std::string_view owner = table.serverName(pinned.owner);
            const std::string_view wanted
                = input.servers.back().usable ? input.servers.back().name : std::string_view();
            RC_ASSERT(owner == wanted);
            for (size_t i = 0; i < table.slices.size(); ++i) {
                const bool anyUsable = std::any_of(
                    input.servers.begin(), input.servers.end(), [](const PlacementServer& c) { return c.usable; });
                if (table.slices[i].begin != point)
                    RC_ASSERT((table.slices[i].state == SliceState::Serving) == anyUsable);
            }
        }
    }));
}

TEST_CASE("an uneven load is balanced within the churn budget, and then no slice moves")
{
    PlacementInput input = inputOf(20);
    SliceTable table = placed(input);
    for (size_t i = 0; i < table.slices.size(); ++i)
        input.sliceLoad.push_back(table.slices[i].owner < 5 ? 3.0 : 1.0);
    PlacementOptions options;
    size_t rounds = 0;
    for (; rounds < 50; ++rounds) {
        const auto moves = planMoves(table, input, options);
        if (moves.empty())
            break;
        double moved = 0;
        double total = 0;
        for (const double load : input.sliceLoad)
            total += load;
        for (const Move& move : moves)
            moved += input.sliceLoad[move.slice];
        CHECK(moved <= options.churnBudget * total * 1.05);
        apply(table, input, moves);
    }
    CHECK(rounds < 50);
    CHECK(imbalanceOf(table, input) < 1.15);
}

TEST_CASE("a changing set of hot keys does not use up all slices")
{
    // Guards against hot keys that stay on overloaded servers: each key that was ever hot kept its slice, until the
    // table had no room for more.
    PlacementInput input = inputOf(10);
    SliceTable table = placed(input);
    const size_t base = table.slices.size();
    uint64_t point = 1;
    size_t maxSliceCount = 0;
    for (int round = 0; round < 200; ++round) {
        input.sliceLoad.clear();
        for (size_t i = 0; i < table.slices.size(); ++i) // load proportional to width
            input.sliceLoad.push_back(static_cast<double>(table.lastPointOf(i) - table.slices[i].begin) / 0x1p64);
        input.hotKeys.clear();
        for (int i = 0; i < 20; ++i)
            input.hotKeys.push_back({ point = point * 6364136223846793005ull + 1442695040888963407ull, 0.01 });
        splitForPlan(table, input, {});
        for (const auto& key : input.hotKeys) {
            const size_t own = table.indexOf(key.point);
            CHECK(table.slices[own].begin == key.point);
            CHECK(table.lastPointOf(own) == key.point);
        }
        mergeForPlan(table, input, {});
        for (const auto& key : input.hotKeys)
            CHECK(table.slices[table.indexOf(key.point)].begin == key.point);
        CHECK(validationError(table).empty());
        CHECK(input.sliceLoad.size() == table.slices.size());
        maxSliceCount = std::max(maxSliceCount, table.slices.size());
    }
    constexpr size_t splitsOfFourRounds = 160;
    CHECK(maxSliceCount < base + splitsOfFourRounds);
}
