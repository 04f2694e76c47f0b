// Limits what the hosts send to a backend server that is warming up: after its start, or after it lost its caches.
//
// Such a server takes a few requests a second from all hosts together. Many more make it crash, with all the work that
// runs there. It warms up by time, not by work. Therefore:
//
// - Nothing is sent to it while another server can do the work: keys move to warm servers, and a service without keys
//   has others to choose from.
// - Where no server is warm, few hosts send to each, one request at a time with a pause after it. Which hosts send
//   depends only on the names of the host and the server. So the total stays below what the server takes although no
//   host knows of the others, including hosts that are cut off, are starting, or count too few hosts.
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

// As declared by operators for the servers of a service.
struct WarmUpLimit {
    Millis duration { 0 }; // after the server's start
    double perSecond = 0; // requests that the server can take from all hosts together; 0: no limit
    bool isSet() const { return perSecond > 0; }
    bool operator==(const WarmUpLimit&) const = default;
};

// Number of hosts, from the counts that the coordinator sends. A new coordinator counts only the hosts that have
// reported to it, at first hardly any. A host that used such a count at once would take itself for one of few and send
// far too much. So the highest recent count is used, and a lower one takes effect only after a delay.
class HostCount {
public:
    void count(size_t hosts, Instant now);
    std::optional<size_t> settled(Instant now) const; // nothing until counts have come in for long enough

private:
    size_t m_maxCount = 0;
    std::optional<Instant> m_firstCountAt;
    Instant m_lastCountAt {};
    std::optional<Instant> m_lowerSince; // since then all counts were below m_maxCount and came without a gap
    size_t m_maxLowerCount = 0; // highest count since m_lowerSince
};

// Whether this host is one of the few that may send to the server during its warm-up.
bool maySendDuringWarmUp(std::string_view host, std::string_view server, size_t hosts, const WarmUpLimit&);

// Pause between two requests of one host to one server during its warm-up. Longer than the second over which the rate
// is counted, because the later request may have a shorter network delay.
constexpr Millis warmUpPause { 1'300 };

}
