// How the hosts share the slots of one server.
//
// A server works on a few requests at once and queues a few more for all hosts together; beyond that it may never
// answer. The coordinator hears what each host has there and what waits, and gives each host its part of a total that
// keeps the server busy without filling its queue.
#pragma once

#include "base/Time.h"

#include <map>
#include <string>
#include <string_view>

namespace cumindale {

struct ShareOptions {
    // Below so many requests for each slot, at work or waiting, the server has room and nobody needs a share: a host
    // must not hold a request back from a free slot because it has had its part.
    double pressedFrom = 0.75;
    // Above, the requests at the server for each of its slots, over all hosts: enough that a slot that becomes free
    // is taken at once, few enough that an answer takes little longer than the work.
    double perSlot = 1.8;
    // A host always has its even part of so many for each slot, up to one request: the server's queue holds them, and
    // what comes to a host by chance is not held back from a slot that is free.
    double evenPerSlot = 3;
    double smoothing = 0.5; // of the newest report against what was known
    Millis reportEvery { 250 }; // a host that names a server in none of these has nothing there
};

// One server's demand, by host.
class SlotDemand {
public:
    explicit SlotDemand(ShareOptions options)
        : m_options(options)
    {
    }

    // What a host has at the server and what waits. Hosts leave servers out at which they have nothing: what is known
    // of one that says no more counts for less with each report that it must have sent since. Load pattern: dozens of
    // hosts that each send a server a request now and then. Counted as they last said, they made an idle server look
    // pressed.
    // Callers got 0.691 of what they were owed, less prices, instead of 0.687 (four days, 70 hosts and 201 servers),
    // and 0.808 instead of 0.806 (six days of four seeds, 9 hosts and 34 servers).
    void report(std::string_view host, double inFlight, double waiting, Instant now);
    double inFlight(Instant now) const; // of all hosts
    bool pressed(unsigned slots, Instant now) const;
    void forget(std::string_view host);
    // The part of a host: by its demand, at least `least`. `hosts`: that share the server.
    double shareOf(std::string_view host, unsigned slots, size_t hosts, Instant now) const;

private:
    ShareOptions m_options;
    struct Host {
        double wanted = 0; // at work and waiting
        double inFlight = 0;
        Instant heard {};
    };
    double wanted(Instant now) const; // by all hosts
    double weightOf(const Host&, Instant now) const; // of what it last said
    std::map<std::string, Host, std::less<>> m_hosts;
};

}
