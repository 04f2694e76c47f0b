// What the hosts may send to a backend server that is warming up: after its start, or after it lost its caches.
//
// Such a server takes a few requests a second from all hosts together, and crashes from many more, with everything
// that runs there. It warms up by time, not by work. So:
//
// - Nothing goes to it while another server can do the work: keys move to warm servers, and a service without keys has
//   others to choose from.
// - Where no server is warm, few hosts send to each, one request at a time with a pause after it. Which hosts these are
//   follows from their names and the server's alone, so that the sum keeps below what the server takes although no host
//   knows of the others: also of those that are cut off, start, or count fewer hosts than there are.
//
// Load pattern: a data centre's servers come back together, with a third of all slots, in a burst; 58 or 300 hosts of
// which each has a request for each server at once.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cumindale {

// As operators declare it for the servers of a service.
struct WarmUpLimit {
    Millis duration { 0 }; // after a start
    double perSecond = 0; // requests from all hosts together, borne meanwhile; 0: as many as when warm
    bool isSet() const { return perSecond > 0; }
    bool operator==(const WarmUpLimit&) const = default;
};

// How many hosts there are, as far as this host was ever told lately. A coordinator counts those that have reported to
// it: at first hardly any, and each host would take itself for one of few.
class HostCount {
public:
    void count(size_t hosts, Instant now);
    std::optional<size_t> settled(Instant now) const; // nothing: not known for long enough

private:
    size_t m_maxCount = 0;
    std::optional<Instant> m_firstCountAt; // the first count
    Instant m_lastCountAt {}; // the last count
    std::optional<Instant> m_lowerSince; // all counts since then were lower than `m_most`, and came without a gap
    size_t m_maxLowerCount = 0; // of these
};

// Whether this host is one of the few that may send to the server while it warms up.
bool maySendDuringWarmUp(std::string_view host, std::string_view server, size_t hosts, const WarmUpLimit&);

// Between two requests of one such host to one such server. Longer than the second in which they are counted: the way
// of a later one may be shorter.
constexpr Millis warmUpPause { 1'300 };

}
