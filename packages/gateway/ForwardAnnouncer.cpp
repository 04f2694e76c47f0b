#include "gateway/ForwardAnnouncer.h"

namespace cumindale {

void ForwardAnnouncer::update(const ReportingHosts& hosts, Instant now)
{
    if (!m_updates.isDue(hosts, now))
        return;
    std::vector<ForwardTarget> targets;
    targets.reserve(hosts.size());
    for (const auto& [name, host] : hosts.all()) {
        if (host.cutOff || !host.forwardPort)
            continue;
        const std::string ip = host.address.substr(0, host.address.rfind(':'));
        targets.push_back({ name, host.dataCentre, ip + ":" + std::to_string(host.forwardPort) });
    }
    m_plan.setHosts(std::move(targets));
}

void ForwardAnnouncer::addTargets(
    const wire::HostReport& report, const ReportingHosts& hosts, Instant now, wire::HostAdvice& advice)
{
    // The first hosts that report to a new coordinator would get short lists, although they know longer ones.
    if (!report.forwardPort || !m_updates.hasHeardFrom(hosts.size(), now))
        return;
    update(hosts, now);
    advice.forwardTargetsChecksum = static_cast<int64_t>(m_plan.checksumOf(report.sender, report.dataCentre));
    if (advice.forwardTargetsChecksum == report.forwardTargetsKnown)
        return;
    for (const auto& target : m_plan.targetsOf(report.sender, report.dataCentre)) {
        wire::ForwardTarget& entry = advice.forwardTargets.emplace_back();
        entry.host = target.host;
        entry.dataCentre = target.dataCentre;
        entry.address = target.address;
    }
}

}
