// How the hosts share the slots of one server.
//
// A server works on a few requests at once and queues a few more for all hosts together; beyond that it may never
// answer. The coordinator hears what each host has there and what waits, and gives each host its part of a total that
// keeps the server busy without filling its queue.
#pragma once

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
};

// One server's demand, by host.
class SlotDemand {
public:
    explicit SlotDemand(ShareOptions options)
        : m_options(options)
    {
    }

    void report(std::string_view host, double inFlight, double waiting);
    double inFlight() const; // of all hosts
    bool pressed(unsigned slots) const;
    void forget(std::string_view host);
    // The part of a host: by its demand, at least `least`. `hosts`: that share the server.
    double shareOf(std::string_view host, unsigned slots, size_t hosts) const;

private:
    ShareOptions m_options;
    struct Host {
        double wanted = 0; // at work and waiting
        double inFlight = 0;
    };
    std::map<std::string, Host, std::less<>> m_hosts;
};

}
