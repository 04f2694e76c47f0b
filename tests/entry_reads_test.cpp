// When a host reads the entries of all servers from the store.
#include "decisions/EntryReads.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace cumindale;

namespace {

constexpr double linkBytesPerSecond = 125'000'000; // of the store
constexpr double bytesPerEntry = 350; // on the wire

struct Fleet {
    size_t hosts;
    size_t servers;
};

const std::vector<Fleet>& fleets()
{
    static const std::vector<Fleet> all { { 1, 10'000 }, { 8, 24 }, { 87, 319 }, { 95, 300 }, { 300, 3'000 },
        { 984, 10'000 }, { 1'968, 20'000 }, { 11'000, 47'500 } };
    return all;
}

}

// The reads of all hosts of a fleet that start together filled the store's link for longer than a read may take.
TEST_CASE("what all hosts read at their start takes the store's link a third of a second, whatever their number")
{
    for (const Fleet& fleet : fleets()) {
        CAPTURE(fleet.hosts);
        const double entries
            = static_cast<double>(fleet.hosts * std::min(fleet.servers, entriesReadAtStart(fleet.hosts)));
        CHECK(entries * bytesPerEntry / linkBytesPerSecond < 0.35);
    }
}

TEST_CASE("hosts of fleets whose reads the store carries read all entries at their start")
{
    for (const Fleet& fleet : fleets()) {
        if (storeCarriesAllReads(fleet.hosts, fleet.servers))
            CHECK(entriesReadAtStart(fleet.hosts) >= fleet.servers);
    }
    CHECK(storeCarriesAllReads(95, 300));
    CHECK_FALSE(storeCarriesAllReads(984, 10'000));
}

TEST_CASE("a host that knows of no others reads one page")
{
    CHECK(entriesReadAtStart(0) > 0);
    CHECK(entriesReadAtStart(0) <= entriesReadAtStart(1));
}

// Hosts that no coordinator tells read together again when their patience ends at the same moment.
TEST_CASE("the turns of all hosts take less than half of the store's link")
{
    for (const Fleet& fleet : fleets()) {
        CAPTURE(fleet.hosts);
        const double first = static_cast<double>(turnToRead(fleet.hosts, fleet.servers, 0).count());
        const double last = static_cast<double>(turnToRead(fleet.hosts, fleet.servers, 1).count());
        const double bytes = static_cast<double>(fleet.hosts * fleet.servers) * bytesPerEntry;
        CHECK(bytes / linkBytesPerSecond <= 0.5 * (last - first) / 1000 + 0.01);
        CHECK(first >= 1'000); // an election and the coordinator's own read come first
    }
}
