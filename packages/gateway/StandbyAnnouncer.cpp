#include "gateway/StandbyAnnouncer.h"

#include "decisions/ListChecksum.h"
#include "decisions/RendezvousHash.h"

namespace cumindale {

StandbyAnnouncer::StandbyAnnouncer(std::string coordinator, size_t standbys)
    : m_coordinator(std::move(coordinator))
    , m_count(standbys)
{
}

void StandbyAnnouncer::update(const ReportingHosts& hosts, Instant now)
{
    if (!m_updates.isDue(hosts, now))
        return;
    m_addresses.clear();
    ListChecksum checksum;
    for (const auto& [name, address] : hosts.answeringStandbys(m_coordinator, m_count)) {
        checksum.add(rendezvousHash(name, address));
        m_addresses.push_back(address);
    }
    m_checksum = m_addresses.empty() ? 0 : static_cast<int64_t>(checksum.value());
}

void StandbyAnnouncer::addStandbys(
    const wire::HostReport& report, const ReportingHosts& hosts, Instant now, wire::HostAdvice& advice)
{
    update(hosts, now);
    // A list that lacks standbys, since they haven't reported to a new coordinator yet, replaces no other.
    if (report.standbysKnown && m_addresses.size() < m_count && !m_updates.hasHeardFrom(hosts.size(), now))
        return;
    advice.standbysChecksum = m_checksum;
    if (m_checksum != report.standbysKnown)
        advice.standbys = m_addresses;
}

}
