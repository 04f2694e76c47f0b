// When a host reads the entries of all servers from the store.
#include "decisions/EntryReads.h"
#include "resources/FleetSizeCodec.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace cumindale;

namespace {

constexpr double linkBytesPerSecond = 125'000'000; // of the store
constexpr double bytesPerEntry = 350; // on the wire

const std::vector<FleetSize>& fleets()
{
    static const std::vector<FleetSize> all { { 1, 10'000 }, { 8, 24 }, { 87, 319 }, { 95, 300 }, { 300, 3'000 },
        { 984, 10'000 }, { 1'968, 20'000 }, { 11'000, 47'500 } };
    return all;
}

}

// The reads of all hosts of a fleet that start together filled the store's link for longer than a read may take.
TEST_CASE("what all hosts read at their start takes the store's link a third of a second, whatever their number")
{
    for (const FleetSize& fleet : fleets()) {
        CAPTURE(fleet.hosts);
        const double entries = static_cast<double>(fleet.hosts * std::min(fleet.servers, entriesReadAtStart(fleet)));
        CHECK(entries * bytesPerEntry / linkBytesPerSecond < 0.35);
    }
}

TEST_CASE("hosts of fleets whose reads the store carries read all entries at their start")
{
    for (const FleetSize& fleet : fleets())
        CHECK((entriesReadAtStart(fleet) >= fleet.servers) == storeCarriesAllReads(fleet));
    CHECK(storeCarriesAllReads({ 95, 300 }));
    CHECK_FALSE(storeCarriesAllReads({ 984, 10'000 }));
}

TEST_CASE("a host that doesn't know the size of the fleet reads one page")
{
    CHECK(entriesReadAtStart(std::nullopt) > 0);
    CHECK(entriesReadAtStart(std::nullopt) <= 500);
}

// Hosts that no coordinator tells read together again when their patience ends at the same moment.
TEST_CASE("the turns of all hosts take less than half of the store's link")
{
    for (const FleetSize& fleet : fleets()) {
        CAPTURE(fleet.hosts);
        const double first = static_cast<double>(turnToRead(fleet, 0).count());
        const double last = static_cast<double>(turnToRead(fleet, 1).count());
        const double bytes = static_cast<double>(fleet.hosts * fleet.servers) * bytesPerEntry;
        CHECK(bytes / linkBytesPerSecond <= 0.5 * (last - first) / 1000 + 0.01);
        CHECK(first >= 1'000); // an election and the coordinator's own read come first
    }
}

// A coordinator that few hosts had reported to left a list of 290 of 984 hosts, and all read the store at the next
// start.
TEST_CASE("a coordinator that has heard of a part of the fleet leaves its size as it is")
{
    const FleetSize stored { 984, 10'000 };
    CHECK_FALSE(fleetSizeToStore(stored, { 290, 9'476 }, Millis(3'000)));
    CHECK_FALSE(fleetSizeToStore(stored, { 1, 10'000 }, Millis(0)));
    const auto grown = fleetSizeToStore(stored, { 1'500, 9'000 }, Millis(0));
    REQUIRE(grown);
    CHECK(grown->hosts == 1'500);
    const auto moreServers = fleetSizeToStore(stored, { 290, 20'000 }, Millis(3'000));
    REQUIRE(moreServers);
    CHECK(moreServers->hosts == 984);
    CHECK(moreServers->servers == 20'000);
    const auto smaller = fleetSizeToStore(stored, { 290, 9'000 }, Millis(120'000));
    REQUIRE(smaller);
    CHECK(smaller->hosts == 290);
    CHECK(fleetSizeToStore(std::nullopt, { 8, 24 }, Millis(0)));
}

TEST_CASE("the size of a fleet is read as it was written, or not at all")
{
    const auto read = decodeFleetSize(encodeFleetSize({ 984, 10'000 }));
    REQUIRE(read);
    CHECK(read->hosts == 984);
    CHECK(read->servers == 10'000);
    for (const auto* text :
        { "", "[]", "{}", R"({"hosts":0,"servers":1})", R"({"hosts":1e400,"servers":1})", R"({"hosts":1})" })
        CHECK_FALSE(decodeFleetSize(text));
}
