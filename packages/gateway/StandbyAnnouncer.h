// At the coordinator: tells each host, with the answers to its reports, which hosts it asks for changes of the store
// while no coordinator answers.
#pragma once

#include "gateway/HostListUpdates.h"

#include <string>
#include <vector>

namespace cumindale {

class StandbyAnnouncer {
public:
    // `standbys`: their number.
    StandbyAnnouncer(std::string coordinator, size_t standbys);

    void beginTerm(Instant now) { m_updates.beginTerm(now); }
    // Adds the addresses of the standbys to the advice unless the reporter knows them.
    void addStandbys(const wire::HostReport&, const ReportingHosts&, Instant now, wire::HostAdvice&);

private:
    void update(const ReportingHosts&, Instant now);

    static constexpr Millis minUpdateInterval { 100 };

    std::string m_coordinator;
    size_t m_count;
    std::vector<std::string> m_addresses;
    int64_t m_checksum = 0; // of m_addresses; 0: there are none
    HostListUpdates m_updates { minUpdateInterval };
};

}
