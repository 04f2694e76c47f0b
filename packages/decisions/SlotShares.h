// Divides the slots of one server among the hosts.
//
// A server works on a few requests at once and queues a few more for all hosts together; beyond that it may never
// answer. Each host reports to the coordinator how many requests it has at the server and how many wait for it. While
// the server has room, no host needs a share. Under pressure each host gets a part of a total that keeps the server
// busy without filling its queue. Where one key overloads its server, dozens of hosts with one request each are already
// too many. The server is then "crowded": a request goes there only with a permit, and the requests at the server plus
// the permits given never exceed the total.
#pragma once

#include "base/Time.h"

#include <map>
#include <string>
#include <string_view>

namespace cumindale {

struct ShareOptions {
    // Requests for each slot, in flight or waiting, above which the server is under pressure. Below, it has room and no
    // host needs a share: a host that has used up its share must not hold a request back from a free slot.
    double pressureThreshold = 0.75;
    // Under pressure, the target number of requests at the server for each of its slots, over all hosts. It is high
    // enough that a free slot is taken at once although hosts report the end of requests late, and low enough that an
    // answer takes little longer than the work itself.
    double targetPerSlot = 1.8;
    // Each host always gets an even share of this many requests for each slot, up to one request. The server's queue
    // can hold them, and a request that reaches a host by chance is not held back from a free slot.
    double evenSharePerSlot = 3;
    // A server becomes crowded with more requests in flight for each slot than this. Servers queue about four for each
    // slot, and as many again arrive until all hosts know.
    double crowdedInFlightPerSlot = 1.5;
    double crowdedDemandPerSlot = 4; // likewise, in flight or waiting
    double uncrowdedPerSlot = 1; // in flight or waiting; below, the server is no longer crowded
    // How long a server is treated as crowded after a key that overloads its server moved to it. The load shows there
    // within a few reports.
    Millis expectedCrowdDuration { 2'000 };
    double smoothing = 0.5; // weight of the newest report in the moving average
};

// One host's report on its requests for a server.
struct Demand {
    double inFlight = 0; // requests at the server, mean since the last report
    double waiting = 0; // requests that wait for a slot there, mean since the last report
    unsigned present = 0; // requests at the server at the time of the report
    unsigned waitingNow = 0; // requests that wait at the time of the report
    unsigned overdue = 0; // part of `present`: most likely lost in a full server, where they occupy no slot
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

    // Records a host's report. Hosts omit servers at which they have nothing, so the last values of a host that no
    // longer names the server lose weight with each report that the host must have sent since. Load pattern: dozens of
    // hosts that each send a server a request now and then. Counted at their last values, they made an idle server look
    // as if it were under pressure.
    void report(std::string_view host, const Demand&, Instant now);
    double inFlight(Instant now); // of all hosts
    bool underPressure(unsigned slots, Instant now);
    void forget(std::string_view host);
    // The host's share of a server that isn't crowded, in proportion to its demand. `hosts` share the server.
    double shareOf(std::string_view host, unsigned slots, size_t hosts, Instant now);

    // --- Crowded servers
    bool crowded(unsigned slots, Instant now); // also updates the state, which has hysteresis
    void expectCrowd(Instant now); // call when a key that overloads its server moves to this one
    // Gives the host permits for requests beyond those it has at the server: as many as it reported waiting, limited by
    // the server's room. Permits count as requests at the server until the host's next report replaces them.
    unsigned takePermits(std::string_view host, unsigned slots, Instant now);
    // As takePermits(), but gives none yet. `ahead`: permits beyond the waiting requests, for requests that arrive
    // before the next report.
    unsigned permitsWanted(std::string_view host, unsigned slots, unsigned ahead, Instant now);
    // Number of requests expected from the host between two reports, each taking `workMillis`.
    unsigned expectedRequests(std::string_view host, double workMillis, Instant now) const;
    void givePermits(std::string_view host, unsigned permits);
    unsigned waitingHosts(Instant now) { return totals(now).waitingHosts; }
    // Expected time between two permits for one host at present demand. `workMillis`: duration of one request at the
    // server.
    Millis permitInterval(unsigned slots, double workMillis, Instant now);

private:
    struct Host {
        double wanted = 0; // in flight and waiting, smoothed
        double inFlight = 0; // smoothed
        unsigned present = 0;
        unsigned overdue = 0;
        unsigned waitingNow = 0;
        unsigned permits = 0; // given with the answer to the host's last report
        Instant lastReportAt {};
    };
    struct Totals {
        double wanted = 0;
        double inFlight = 0;
        unsigned present = 0; // including permits
        unsigned waitingNow = 0;
        unsigned waitingHosts = 0;
    };

    double weightOf(const Host&, Instant now) const; // of its last report, 0..1
    const Totals& totals(Instant now);

    ShareOptions m_options;
    Millis m_reportInterval { 250 }; // a host whose report omits the server has nothing there
    std::map<std::string, Host, std::less<>> m_hosts;
    Totals m_totals; // cached as of m_totalsAt; computed again after each change
    Instant m_totalsAt = Instant::min();
    Instant m_lastAnswerAt {}; // time of the last report that said the server has answered
    bool m_crowded = false;
    Instant m_expectedUntil {};
};

}
