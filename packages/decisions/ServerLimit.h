// Limits how many requests one host may send to one server.
//
// A server works on a few requests at once and queues a few more for all hosts together. Requests beyond that hang or
// are reset, and nobody can tell whether they ran. So the limit is chosen by its sum over all hosts:
//
// - If nothing is known of the server's load and there are few hosts, the limit is somewhat above the slots. If one
//   request from each host is already more than the server takes, the limit is one.
// - If the coordinator has given the host a share, the share is the limit until the answer to the next report.
// - If the coordinator has told all hosts that the server is crowded, nothing is sent without a permit, which the
//   coordinator gives with the answer to a report. This state lasts for a while, also when the host has nothing at the
//   server and its reports therefore don't name the server.
//
// Load pattern: 95 hosts and one key that asks for ten times what its server can do. With a fixed limit of one and a
// half times the slots on each host, most requests overflow the server's queue, and hardly an answer meets its target
// latency.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <optional>

namespace cumindale {

struct ServerLimitOptions {
    // Limit of a host without a share, for each slot, while the server has room. The server's queue absorbs what
    // several hosts send at once.
    double unsharedPerSlot = 1.5;
    // How long a server stays crowded without another message from the coordinator. Reports are at most a second apart,
    // and one may be lost.
    Millis crowdedTimeout { 2'000 };
};

// Assumed minimum of requests that a server queues for each of its slots. Servers don't publish it.
constexpr double minQueuePerSlot = 3;

// Whether one request from each host is more than the server takes.
constexpr bool hostsExceedQueue(size_t hosts, unsigned slots)
{
    return static_cast<double>(hosts) > (1 + minQueuePerSlot) * slots;
}

class ServerLimit {
public:
    explicit ServerLimit(ServerLimitOptions options = {})
        : m_options(options)
    {
    }

    // `hosts`: number of hosts that send to the server; 0 if not known yet.
    void setSlotsAndHosts(unsigned slots, size_t hosts);

    // --- Set by the coordinator's answers
    void setShare(double);
    void setCrowded(Instant now);
    void setUnrestricted(); // the server is neither under pressure nor crowded
    void clearShare(); // call when the answer to a report omits the server

    bool crowded(Instant now) const { return now < m_crowdedUntil; } // if so, send only with a permit
    double value() const; // concurrent requests to the server while it is not crowded

private:
    ServerLimitOptions m_options;
    unsigned m_slots = 1;
    size_t m_hosts = 0;
    std::optional<double> m_share;
    Instant m_crowdedUntil {};
};

}
