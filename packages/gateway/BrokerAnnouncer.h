// At the coordinator: picks the brokers among the hosts that report, and sends their list with the answers to reports.
#pragma once

#include "decisions/BrokerPlan.h"
#include "gateway/HostListUpdates.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace cumindale {

class BrokerAnnouncer {
public:
    // `listedHosts`: those that reported to the previous coordinator.
    void beginTerm(int64_t term, std::set<std::string, std::less<>> listedHosts, Instant now);
    // Adds the list to the advice unless the host knows it. Hosts that exchange no slot messages get none. If the
    // advice may not be large, the list follows with a later one.
    void addBrokers(const wire::HostReport&, const ReportingHosts&, Instant now, bool mayBeLarge, wire::HostAdvice&);

private:
    bool heardFromMostHosts(const ReportingHosts&, Instant now) const;
    void update(const ReportingHosts&, Instant now);

    // Each change moves pools, whose new brokers know no requests yet.
    static constexpr Millis minPlanInterval { 1'000 };

    int64_t m_term = 0;
    std::set<std::string, std::less<>> m_listedHosts;
    uint64_t m_edition = 0; // of m_brokers, in this term; 0: none planned yet
    std::vector<Broker> m_brokers; // ordered by name
    HostListUpdates m_updates { minPlanInterval };
};

}
