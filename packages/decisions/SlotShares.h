// How the hosts share the slots of one server.
//
// A server works on a few requests at once and queues a few more for all hosts together; beyond that it may never
// answer. The coordinator hears what each host has there and what waits. While the server has room nobody needs a
// share. Under pressure each host gets its part of a total that keeps the server busy without filling its queue. Where
// a key crowds its server, dozens of hosts with one request each are already too many: then a request goes there only
// with a permit, and what is there with what is permitted never exceeds the total.
#pragma once

#include "base/Time.h"

#include <map>
#include <string>
#include <string_view>

namespace cumindale {

struct ShareOptions {
    // Below so many requests for each slot, at work or waiting, the server has room and nobody needs a share: a host
    // must not hold a request back from a free slot because it has had its part.
    double pressureThreshold = 0.75;
    // Above, the requests at the server for each of its slots, over all hosts: enough that a slot that becomes free
    // is taken at once, although hosts tell late of the end of work; few enough that an answer takes little longer than
    // the work.
    double targetPerSlot = 1.8;
    // A host always has its even part of so many for each slot, up to one request: the server's queue holds them, and
    // what comes to a host by chance is not held back from a slot that is free.
    double evenSharePerSlot = 3;
    // With so many requests at the server for each of its slots it is crowded. Servers queue about four for each slot;
    // until all hosts know, as many come again.
    double crowdedInFlightPerSlot = 1.5;
    double crowdedDemandPerSlot = 4; // the same, at the server or waiting for it
    double uncrowdedPerSlot = 1; // at the server or waiting; below, it is no longer crowded
    Millis expectedCrowdDuration { 2'000 }; // a crowd that moves to another server shows there within a few reports
    double smoothing = 0.5; // of the newest report against what was known
};

// What one host has at a server and what waits there for it.
struct Demand {
    double inFlight = 0; // at the server, as a mean since the last report
    double waiting = 0; // for a slot there, likewise
    unsigned present = 0; // at the server at the moment of the report
    unsigned waitingNow = 0;
    unsigned overdue = 0; // of those present: most likely lost in a full server, which takes no place there
    bool answered = false; // the server has answered since the last report
};

// One server's demand, by host.
class SlotDemand {
public:
    explicit SlotDemand(ShareOptions options)
        : m_options(options)
    {
    }

    void setReportInterval(Millis interval) { m_reportInterval = interval; }

    // What a host has at the server and what waits. Hosts leave servers out at which they have nothing: what is known
    // of one that says no more counts for less with each report that it must have sent since. Load pattern: dozens of
    // hosts that each send a server a request now and then. Counted as they last said, they made an idle server look
    // pressed.
    void report(std::string_view host, const Demand&, Instant now);
    double inFlight(Instant now); // of all hosts
    bool underPressure(unsigned slots, Instant now);
    void forget(std::string_view host);
    // Of a server that isn't crowded: the part of a host, by its demand. `hosts`: that share the server.
    double shareOf(std::string_view host, unsigned slots, size_t hosts, Instant now);

    // --- Crowded servers
    bool crowded(unsigned slots, Instant now); // remembers that it was
    void expectCrowd(Instant now); // a key that crowds its server moves to this one
    // Requests that the host may send now, beyond what it has there: as many as it said wait, if the server has room.
    // They count as being there until the host's next report tells what it made of them.
    unsigned takePermits(std::string_view host, unsigned slots, Instant now);
    // The same, not given yet. `ahead`: beyond those that wait, for requests that come before the next report.
    unsigned permitsWanted(std::string_view host, unsigned slots, unsigned ahead, Instant now);
    // Of a host, between two reports, at `workMillis` each.
    unsigned expectedRequests(std::string_view host, double workMillis, Instant now) const;
    void givePermits(std::string_view host, unsigned permits);
    unsigned waitingHosts(Instant now) { return totals(now).waitingHosts; }
    // Between two permits for one host, as things stand. `work`: of one request at the server.
    Millis permitInterval(unsigned slots, double workMillis, Instant now);

private:
    struct Host {
        double wanted = 0; // at work and waiting
        double inFlight = 0;
        unsigned present = 0;
        unsigned overdue = 0;
        unsigned waitingNow = 0;
        unsigned permits = 0; // given with the answer to its last report
        Instant lastReportAt {};
    };
    struct Totals {
        double wanted = 0;
        double inFlight = 0;
        unsigned present = 0; // permits included
        unsigned waitingNow = 0;
        unsigned waitingHosts = 0;
    };

    double weightOf(const Host&, Instant now) const; // of what it last said
    const Totals& totals(Instant now);

    ShareOptions m_options;
    Millis m_reportInterval { 250 }; // a host that names the server in none of these has nothing there
    std::map<std::string, Host, std::less<>> m_hosts;
    Totals m_totals; // as of `m_totalsAt`; made anew after each change
    Instant m_totalsAt = Instant::min();
    Instant m_lastAnswerAt {}; // the last report of an answer
    bool m_crowded = false;
    Instant m_expectedUntil {};
};

}
