// When a coordinator makes a list of hosts anew that it tells with the answers to reports.
//
// A list costs as much as there are hosts, and while a fleet starts there is a new host with most reports.
#pragma once

#include "gateway/ReportingHosts.h"

namespace cumindale {

class HostListUpdates {
public:
    // `minInterval`: between two lists.
    explicit HostListUpdates(Millis minInterval)
        : m_minInterval(minInterval)
    {
    }

    void beginTerm(Instant now);
    bool isDue(const ReportingHosts&, Instant now); // true: the caller makes the list now
    // Whether all of these hosts have had time to report in this term. Lists made of the first reports would be short.
    bool hasHeardFrom(size_t hosts, Instant now) const;

private:
    Millis m_minInterval;
    Instant m_termBegan {};
    Instant m_madeAt {};
    uint64_t m_madeFor = 0; // ReportingHosts::edition() of the list; 0: none in this term
};

}
