// How many requests one host may send to one server.
//
// A server works on a few requests at once and queues a few more for all hosts together; what comes beyond that hangs
// or is reset, and nobody can say whether it ran. So a limit is judged by its sum over all hosts:
//
// - Nothing is known of the server's load: as many as come to a host at once where there are few hosts; one, where one
//   from each host is already more than the server takes.
// - The coordinator has told the host its share: that, until it answers the next report.
// - The server is crowded, which all hosts are told: nothing without a permit, which the coordinator gives with the
//   answer to a report. That holds for a while, also when the host has nothing there and its reports don't name the
//   server.
//
// Load pattern: 95 hosts and one key that asks for ten times what its server can do. With a fixed limit of one and a
// half times the slots on each host most of what is sent overflows the server's queue, and hardly an answer comes
// within its target.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <optional>

namespace cumindale {

struct ServerLimitOptions {
    double unsharedPerSlot
        = 1.5; // of the slots, while the server has room: its queue takes what several hosts send at once
    // A crowd is believed so long without being told again. Reports are at most a second apart, and one may be lost.
    Millis crowdedTimeout { 2'000 };
};

// Requests that a server queues for each of its slots, at least: servers don't tell.
constexpr double minQueuePerSlot = 3;

// One request from each host is more than the server takes.
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

    // `hosts` that send to the server; 0: not known yet.
    void setSlotsAndHosts(unsigned slots, size_t hosts);

    // --- Told by the coordinator
    void setShare(double);
    void setCrowded(Instant now);
    void setUnrestricted(); // neither pressed nor crowded
    void clearShare(); // the answer to a report leaves it out

    bool crowded(Instant now) const { return now < m_crowdedUntil; } // nothing without a permit
    double value() const; // requests there at once, while it is not crowded

private:
    ServerLimitOptions m_options;
    unsigned m_slots = 1;
    size_t m_hosts = 0;
    std::optional<double> m_share;
    Instant m_crowdedUntil {};
};

}
