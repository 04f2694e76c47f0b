#include "gateway/ReportingHosts.h"

#include <algorithm>

namespace cumindale {

void ReportingHosts::onReport(const wire::HostReport& report, Instant now)
{
    constexpr double centi = 100;
    const auto [entry, added] = m_hosts.try_emplace(report.sender);
    ReportingHost& host = entry->second;
    host.lastReport = now;
    const double strength = report.strengthCenti / centi;
    if (!added && host.strength == strength && host.dataCentre == report.dataCentre && host.address == report.address
        && host.brokersSlots == report.brokersSlots && host.cutOff == report.cutOff
        && host.forwardPort == report.forwardPort)
        return;
    host.strength = strength;
    host.dataCentre = report.dataCentre;
    host.address = report.address;
    host.brokersSlots = report.brokersSlots;
    host.cutOff = report.cutOff;
    host.forwardPort = report.forwardPort;
    ++m_edition;
}

std::vector<std::string> ReportingHosts::removeSilent(Millis timeout, Instant now)
{
    std::vector<std::string> removed;
    for (const auto& [name, host] : m_hosts) {
        if (now - host.lastReport > timeout)
            removed.push_back(name);
    }
    for (const auto& name : removed)
        m_hosts.erase(name);
    m_edition += !removed.empty();
    return removed;
}

void ReportingHosts::clear()
{
    m_hosts.clear();
    ++m_edition;
}

std::set<std::string, std::less<>> ReportingHosts::names() const
{
    std::set<std::string, std::less<>> names;
    for (const auto& [name, host] : m_hosts)
        names.insert(name);
    return names;
}

bool ReportingHosts::anyOtherReachesServers(std::string_view host) const
{
    return std::any_of(
        m_hosts.begin(), m_hosts.end(), [&](const auto& other) { return other.first != host && !other.second.cutOff; });
}

bool ReportingHosts::isStandby(std::string_view host, std::string_view coordinator, size_t standbys) const
{
    // Ties are broken by name, so that the choice is stable.
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end() || host == coordinator)
        return false;
    size_t strongerHosts = 0;
    for (const auto& [name, other] : m_hosts) {
        const bool precedes
            = other.strength > found->second.strength || (other.strength == found->second.strength && name < host);
        strongerHosts += name != coordinator && precedes;
    }
    return strongerHosts < standbys;
}

}
