#include "gateway/ReportingHosts.h"

#include "decisions/RendezvousHash.h"

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
        && host.forwardPort == report.forwardPort && host.answersAwaiting == report.answersAwaiting)
        return;
    host.strength = strength;
    host.dataCentre = report.dataCentre;
    host.address = report.address;
    host.brokersSlots = report.brokersSlots;
    host.cutOff = report.cutOff;
    host.forwardPort = report.forwardPort;
    host.answersAwaiting = report.answersAwaiting;
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

namespace {

    // Ties are broken by name, so that the choice is stable.
    bool isStronger(const ReportingHosts::Map::value_type& host, const ReportingHosts::Map::value_type& other)
    {
        if (host.second.strength != other.second.strength)
            return host.second.strength > other.second.strength;
        return host.first < other.first;
    }

}

bool ReportingHosts::isStandby(std::string_view host, std::string_view coordinator, size_t standbys) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end() || host == coordinator)
        return false;
    size_t strongerHosts = 0;
    for (const auto& other : m_hosts)
        strongerHosts += other.first != coordinator && isStronger(other, *found);
    return strongerHosts < standbys;
}

std::vector<const ReportingHosts::Map::value_type*> ReportingHosts::strongest(
    std::string_view coordinator, size_t standbys) const
{
    std::vector<const Map::value_type*> strongest;
    for (const auto& host : m_hosts) {
        if (host.first != coordinator)
            strongest.push_back(&host);
    }
    const auto end = strongest.begin() + static_cast<std::ptrdiff_t>(std::min(standbys, strongest.size()));
    std::partial_sort(strongest.begin(), end, strongest.end(),
        [](const auto* host, const auto* other) { return isStronger(*host, *other); });
    strongest.erase(end, strongest.end());
    return strongest;
}

std::map<std::string, std::string> ReportingHosts::answeringStandbys(
    std::string_view coordinator, size_t standbys) const
{
    std::map<std::string, std::string> addresses;
    for (const auto* host : strongest(coordinator, standbys)) {
        if (host->second.answersAwaiting)
            addresses.emplace(host->first, host->second.address);
    }
    return addresses;
}

std::map<std::string, std::string> ReportingHosts::otherAnswering(
    std::string_view coordinator, size_t standbys, size_t count) const
{
    const auto standbyHosts = strongest(coordinator, standbys);
    std::map<std::string_view, std::map<uint64_t, const Map::value_type*>> hostsByDataCentre; // in an order by hash
    for (const auto& host : m_hosts) {
        const bool isStandby = std::find(standbyHosts.begin(), standbyHosts.end(), &host) != standbyHosts.end();
        if (host.first != coordinator && !isStandby && host.second.answersAwaiting)
            hostsByDataCentre[host.second.dataCentre].emplace(rendezvousHash(host.first, "answering"), &host);
    }
    std::map<std::string, std::string> addresses;
    while (addresses.size() < count && !hostsByDataCentre.empty()) {
        for (auto centre = hostsByDataCentre.begin(); centre != hostsByDataCentre.end() && addresses.size() < count;) {
            auto& hosts = centre->second;
            addresses.emplace(hosts.begin()->second->first, hosts.begin()->second->second.address);
            hosts.erase(hosts.begin());
            centre = hosts.empty() ? hostsByDataCentre.erase(centre) : std::next(centre);
        }
    }
    return addresses;
}

}
