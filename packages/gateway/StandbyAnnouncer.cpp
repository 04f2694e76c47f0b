#include "gateway/StandbyAnnouncer.h"

#include "decisions/FleetTiming.h"
#include "decisions/ListChecksum.h"
#include "decisions/RendezvousHash.h"

namespace cumindale {

namespace {

    std::vector<std::string> addressesOf(const std::map<std::string, std::string>& hosts, ListChecksum& checksum)
    {
        std::vector<std::string> addresses;
        for (const auto& [name, address] : hosts) {
            checksum.add(rendezvousHash(name, address));
            addresses.push_back(address);
        }
        return addresses;
    }

}

StandbyAnnouncer::StandbyAnnouncer(std::string coordinator, size_t standbys)
    : m_coordinator(std::move(coordinator))
    , m_standbysWanted(standbys)
{
}

void StandbyAnnouncer::update(const ReportingHosts& hosts, size_t servers, Instant now)
{
    if (!m_updates.isDue(hosts, now))
        return;
    m_fewestOthers = answeringHosts(0, servers);
    ListChecksum checksum;
    m_standbys = addressesOf(hosts.answeringStandbys(m_coordinator, m_standbysWanted), checksum);
    checksum.add(m_standbys.size());
    m_others = addressesOf(
        hosts.otherAnswering(m_coordinator, m_standbysWanted, answeringHosts(hosts.size(), servers)), checksum);
    m_checksum = m_standbys.empty() && m_others.empty() ? 0 : static_cast<int64_t>(checksum.value());
}

void StandbyAnnouncer::addStandbys(
    const wire::HostReport& report, const ReportingHosts& hosts, size_t servers, Instant now, wire::HostAdvice& advice)
{
    update(hosts, servers, now);
    // A list that lacks hosts, since they haven't reported to a new coordinator yet, replaces no other.
    const bool isShort = m_standbys.size() < m_standbysWanted || m_others.size() < m_fewestOthers;
    if (report.standbysKnown && isShort && !m_updates.hasHeardFrom(hosts.size(), now))
        return;
    advice.standbysChecksum = m_checksum;
    if (m_checksum == report.standbysKnown)
        return;
    advice.standbys = m_standbys;
    advice.answeringHosts = m_others;
}

}
