// At the coordinator: tells each host, with the answers to its reports, which hosts serve its requests if it loses its
// path to the servers.
#pragma once

#include "decisions/ForwardTargets.h"
#include "gateway/HostListUpdates.h"

namespace cumindale {

class ForwardAnnouncer {
public:
    void beginTerm(Instant now) { m_updates.beginTerm(now); }
    // Adds the reporter's list to the advice unless it knows the list.
    void addTargets(const wire::HostReport&, const ReportingHosts&, Instant now, wire::HostAdvice&);

private:
    void update(const ReportingHosts&, Instant now);

    static constexpr Millis minPlanInterval { 100 };

    ForwardPlan m_plan;
    HostListUpdates m_updates { minPlanInterval };
};

}
