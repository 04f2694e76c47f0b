#include "gateway/ForwardAnnouncer.h"

#include "base/Hash.h"
#include "decisions/FleetTiming.h"

namespace cumindale {

namespace {

    // A plan costs as much as there are hosts, and while a fleet starts there is a new host with most reports.
    constexpr Millis minPlanInterval { 100 };

    int64_t checksumOf(const std::vector<ForwardTarget>& targets)
    {
        uint64_t checksum = 1; // 0 means no list
        for (const auto& target : targets)
            checksum = hashOf(checksum, { target.host, target.dataCentre, target.address });
        return static_cast<int64_t>(checksum | 1);
    }

}

void ForwardAnnouncer::beginTerm(Instant now)
{
    m_termBegan = now;
    m_plannedFor = 0;
}

void ForwardAnnouncer::update(const ReportingHosts& hosts, Instant now)
{
    const bool planned = m_plannedFor != 0;
    if (planned && (hosts.edition() == m_plannedFor || now - m_plannedAt < minPlanInterval))
        return;
    m_plannedFor = hosts.edition();
    m_plannedAt = now;
    std::vector<ForwardTarget> targets;
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
    constexpr int reportsToWaitFor = 2; // one may be lost
    if (!report.forwardPort || now - m_termBegan < reportsToWaitFor * fleetTiming(hosts.size()).reportInterval)
        return;
    update(hosts, now);
    const auto targets = m_plan.targetsOf(report.sender, report.dataCentre);
    advice.forwardTargetsChecksum = checksumOf(targets);
    if (advice.forwardTargetsChecksum == report.forwardTargetsKnown)
        return;
    for (const auto& target : targets) {
        wire::ForwardTarget& entry = advice.forwardTargets.emplace_back();
        entry.host = target.host;
        entry.dataCentre = target.dataCentre;
        entry.address = target.address;
    }
}

}
