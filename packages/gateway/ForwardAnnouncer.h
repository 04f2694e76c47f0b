// At the coordinator: tells each host, with the answers to its reports, which hosts serve its requests if it loses its
// path to the servers.
#pragma once

#include "decisions/ForwardTargets.h"
#include "gateway/ReportingHosts.h"

namespace cumindale {

class ForwardAnnouncer {
public:
    void beginTerm(Instant now);
    // Adds the reporter's list to the advice unless it knows the list.
    void addTargets(const wire::HostReport&, const ReportingHosts&, Instant now, wire::HostAdvice&);

private:
    void update(const ReportingHosts&, Instant now);

    ForwardPlan m_plan;
    Instant m_termBegan {};
    Instant m_plannedAt {};
    uint64_t m_plannedFor = 0; // ReportingHosts::edition() of the plan
};

}
