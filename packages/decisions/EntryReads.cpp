#include "decisions/EntryReads.h"

#include <algorithm>
#include <cmath>

namespace cumindale {

namespace {

    // In sum over all hosts. At some 350 bytes an entry on the wire, a third of a second of a link of 1 Gbit/s, which
    // the first calls of all hosts share.
    constexpr size_t maxEntriesAtOnce = 100'000;
    // A page of the store has no fewer, if there are as many.
    constexpr size_t smallestPage = 200;

    // A new coordinator is elected, has read all entries and sent them on by then.
    constexpr Millis copyTimeout { 5'000 };
    constexpr double entriesPerSecond = 100'000; // of all turns together: a third of a link of 1 Gbit/s
    constexpr size_t assumedServersPerHost = 10; // while the number of servers isn't known
    constexpr size_t assumedHosts = 100; // likewise

}

bool storeCarriesAllReads(size_t hosts, size_t servers) { return hosts * servers <= maxEntriesAtOnce; }

size_t entriesReadAtStart(size_t hosts)
{
    if (!hosts)
        return smallestPage;
    const size_t share = maxEntriesAtOnce / hosts;
    return share < smallestPage ? 0 : share;
}

Millis turnToRead(size_t hosts, size_t servers, double phase)
{
    if (!hosts)
        hosts = assumedHosts;
    const size_t entries = servers ? servers : hosts * assumedServersPerHost;
    const double seconds = static_cast<double>(hosts) * static_cast<double>(entries) / entriesPerSecond;
    return copyTimeout + Millis(std::llround(std::clamp(phase, 0.0, 1.0) * seconds * 1000));
}

}
