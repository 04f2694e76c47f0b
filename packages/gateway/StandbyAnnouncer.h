// At the coordinator: tells each host, with the answers to its reports, which hosts it asks for changes of the store
// while no coordinator answers: the standbys, and others for when the standbys don't know either.
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
    // Adds the addresses to the advice unless the reporter knows them. `servers`: how many are registered.
    void addStandbys(const wire::HostReport&, const ReportingHosts&, size_t servers, Instant now, wire::HostAdvice&);

private:
    void update(const ReportingHosts&, size_t servers, Instant now);

    static constexpr Millis minUpdateInterval { 100 };

    std::string m_coordinator;
    size_t m_standbysWanted;
    size_t m_fewestOthers = 0; // that a list has even if few hosts report
    std::vector<std::string> m_standbys; // addresses
    std::vector<std::string> m_others; // addresses
    int64_t m_checksum = 0; // of both; 0: there are none
    HostListUpdates m_updates { minUpdateInterval };
};

}
