#include "gateway/BrokerAnnouncer.h"

#include "base/Log.h"
#include "gateway/TermEdition.h"

#include <algorithm>
#include <boost/json/array.hpp>

namespace cumindale {

namespace {

    std::vector<Broker> plannedAmong(const ReportingHosts& hosts)
    {
        std::vector<BrokerCandidate> candidates;
        for (const auto& [name, host] : hosts.all()) {
            if (host.brokersSlots)
                candidates.push_back({ name, host.dataCentre, host.strength });
        }
        std::vector<Broker> brokers;
        for (const auto& name : planBrokers(candidates)) {
            const ReportingHost& host = hosts.all().at(name);
            brokers.push_back({ name, host.dataCentre, host.address });
        }
        return brokers;
    }

}

void BrokerAnnouncer::beginTerm(int64_t term, std::set<std::string, std::less<>> listedHosts, Instant now)
{
    m_term = term;
    m_updates.beginTerm(now);
    m_listedHosts = std::move(listedHosts);
    m_edition = 0;
    m_brokers.clear();
}

// The list would shrink at each change of the coordinator, and grow again, if it were planned from the first reports.
bool BrokerAnnouncer::heardFromMostHosts(const ReportingHosts& hosts, Instant now) const
{
    if (m_updates.hasHeardFrom(std::max(m_listedHosts.size(), hosts.size()), now))
        return true;
    return !m_listedHosts.empty() && std::all_of(m_listedHosts.begin(), m_listedHosts.end(), [&](const auto& name) {
        return hosts.all().count(name) > 0;
    });
}

void BrokerAnnouncer::update(const ReportingHosts& hosts, Instant now)
{
    const bool planned = m_edition > 0;
    if (!planned && !heardFromMostHosts(hosts, now))
        return;
    if (!m_updates.isDue(hosts, now))
        return;
    auto brokers = plannedAmong(hosts);
    if (planned && brokers == m_brokers)
        return;
    m_brokers = std::move(brokers);
    ++m_edition;
    boost::json::array names;
    for (const auto& broker : m_brokers)
        names.emplace_back(broker.host);
    logChange(LogLevel::Info, "brokers-changed",
        { { "term", m_term }, { "edition", m_edition }, { "hosts", hosts.size() }, { "brokers", names } });
}

void BrokerAnnouncer::addBrokers(
    const wire::HostReport& report, const ReportingHosts& hosts, Instant now, bool mayBeLarge, wire::HostAdvice& advice)
{
    update(hosts, now);
    if (!m_edition || !report.brokersSlots)
        return;
    const int64_t edition = editionInTerm(m_term, m_edition);
    if (report.brokersKnown != edition && !mayBeLarge)
        return;
    advice.brokersEdition = edition;
    if (report.brokersKnown == edition)
        return;
    for (const auto& broker : m_brokers) {
        wire::Broker& entry = advice.brokers.emplace_back();
        entry.host = broker.host;
        entry.dataCentre = broker.dataCentre;
        entry.address = broker.address;
    }
}

}
