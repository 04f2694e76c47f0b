#include "decisions/EntryReads.h"

#include <algorithm>
#include <cmath>

namespace cumindale {

namespace {

    // In sum over all hosts. At some 350 bytes an entry on the wire, a third of a second of a link of 1 Gbit/s, which
    // the first calls of all hosts share.
    constexpr size_t maxEntriesAtOnce = 100'000;
    constexpr size_t smallestPage = 200; // of the store; a page has no fewer entries, if there are as many

    constexpr Millis longTerm { 60'000 }; // hosts that are restarted one after the other are back by then
    constexpr double storedFactor = 1.5; // a size that differs by less is left as it is, to save writes

    // A new coordinator is elected, has read all entries and sent them on by then.
    constexpr Millis copyTimeout { 5'000 };
    constexpr double entriesPerSecond = 100'000; // of all turns together: a third of a link of 1 Gbit/s
    constexpr FleetSize assumedSize { 1'000, 10'000 }; // of a fleet whose size isn't known

    bool differs(size_t stored, size_t seen)
    {
        const auto least = static_cast<double>(std::min(stored, seen));
        const auto most = static_cast<double>(std::max(stored, seen));
        return most > storedFactor * least;
    }

}

bool storeCarriesAllReads(const FleetSize& size) { return size.hosts * size.servers <= maxEntriesAtOnce; }

size_t entriesReadAtStart(const std::optional<FleetSize>& known)
{
    if (!known)
        return smallestPage;
    return storeCarriesAllReads(*known) ? maxEntriesAtOnce : 0;
}

std::optional<FleetSize> fleetSizeToStore(
    const std::optional<FleetSize>& stored, const FleetSize& seen, Millis sinceElection)
{
    if (!stored)
        return seen;
    FleetSize wanted = seen;
    if (sinceElection < longTerm)
        wanted.hosts = std::max(wanted.hosts, stored->hosts);
    if (!differs(stored->hosts, wanted.hosts) && !differs(stored->servers, wanted.servers))
        return std::nullopt;
    return wanted;
}

Millis turnToRead(const FleetSize& size, double phase)
{
    const size_t hosts = size.hosts ? size.hosts : assumedSize.hosts;
    const size_t servers = size.servers ? size.servers : assumedSize.servers;
    const double seconds = static_cast<double>(hosts) * static_cast<double>(servers) / entriesPerSecond;
    return copyTimeout + Millis(std::llround(std::clamp(phase, 0.0, 1.0) * seconds * 1000));
}

}
