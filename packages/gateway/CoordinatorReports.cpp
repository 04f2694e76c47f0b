// The part of the Coordinator that takes the hosts' reports and answers them.
#include "gateway/Coordinator.h"

#include "base/Log.h"
#include "gateway/TermEdition.h"
#include "resources/QuarantineCodec.h"

#include <algorithm>

namespace cumindale {

namespace {

    AdviceEcho echoIn(const wire::HostReport& report)
    {
        return { report.adviceTerm, instantFromMillis(report.adviceAnsweredAt), Millis(report.adviceAgeMillis) };
    }

}

wire::HostAdvice Coordinator::onReport(const wire::HostReport& report, bool mayBeLarge)
{
    wire::HostAdvice advice;
    advice.coordinates = m_term != 0;
    advice.term = m_term;
    advice.storeSilentMillis = m_timeSinceStoreAnswer.count();
    advice.lastChange = m_view.lastChange();
    advice.storeRevision = m_view.revision();
    if (!m_term)
        return advice;
    const Instant now = m_clock.now();
    advice.answeredAt = toMillis(now);
    m_hosts.onReport(report, now);
    m_leadership.onReport(report.sender, reportSentAfter(echoIn(report), m_term, now));
    checkPreviousCoordinators(report.sender);
    if (report.sender != m_options.host)
        m_announcer.updateHost(report);
    advice.sendsSnapshots = true;
    advice.standsBy = m_hosts.isStandby(report.sender, m_options.host, m_options.standbys);
    advice.reportMillis = static_cast<int32_t>(timing().reportInterval.count());
    advice.hosts = static_cast<int32_t>(m_hosts.size());
    // Loads decay with a half-life, so a constant rate adds up to the rate times this lifetime. Divided by the
    // lifetime, each sample adds to an estimate of the rate.
    const double lifetime = loadLifetimeSeconds();
    for (const auto& service : report.services) {
        KeyLoad& load = m_loads[service.serviceName];
        for (const auto& use : service.keys)
            load.add(static_cast<uint32_t>(use.key), use.busyMicros / 1000.0 / lifetime);
    }
    const bool answersLarge = mayBeLarge && !m_snapshots.leavesToRelays(report, now);
    m_announcer.addMissedChanges(report, m_view.tables(), answersLarge, advice);
    m_snapshots.addSnapshot(report, answersLarge, now, advice);
    applyReportedLeaving(report);
    applyRateLimits(report, now, advice);
    applyServerUse(report, now, advice);
    applyCrashReports(report, now, advice);
    m_brokers.addBrokers(report, m_hosts, now, mayBeLarge, advice);
    m_forwardTargets.addTargets(report, m_hosts, now, advice);
    m_standbys.addStandbys(report, m_hosts, m_view.servers()->size(), now, advice);
    return advice;
}

wire::HostAdvice Coordinator::missedChanges(const wire::HostReport& report, bool mayBeLarge)
{
    wire::HostAdvice advice;
    advice.lastChange = m_view.lastChange();
    advice.storeRevision = m_view.revision();
    m_announcer.addMissedChanges(report, {}, mayBeLarge, advice);
    return advice;
}

std::shared_ptr<const GrantPlan::Servers> Coordinator::servers()
{
    auto registered = m_view.servers();
    std::erase_if(m_reportedLeaving, [&](const std::string& id) {
        const auto server = registered->find(id);
        return server == registered->end() || server->second.leaving;
    });
    if (m_reportedLeaving.empty() || m_timeSinceStoreAnswer > m_options.storeUnavailableAfter)
        return registered;
    auto adjusted = std::make_shared<GrantPlan::Servers>(*registered);
    for (const auto& id : m_reportedLeaving)
        adjusted->at(id).leaving = true;
    return adjusted;
}

void Coordinator::applyReportedLeaving(const wire::HostReport& report)
{
    const auto registered = m_view.servers();
    for (const auto& id : report.leaving) {
        if (!registered->count(id) || !m_reportedLeaving.insert(id).second)
            continue;
        logChange(LogLevel::Info, "server-reported-leaving", { { "server", id }, { "reporter", report.sender } });
        wake();
    }
}

void Coordinator::applyRateLimits(const wire::HostReport& report, Instant now, wire::HostAdvice& advice)
{
    GlobalRateLimiter& rates = m_shares.rates();
    const auto registered = m_view.servers();
    for (const auto& rate : report.rates) {
        if (!registered->count(rate.server))
            continue;
        const auto limit = rate.limited ? std::optional(rate.perSecond) : std::nullopt;
        const uint64_t before = rates.edition();
        rates.limitReported(rate.server, limit, now - Millis(rate.ageMillis), now);
        if (rates.edition() != before)
            logChange(LogLevel::Info, "server-limit-changed",
                { { "server", rate.server }, { "limited", rate.limited }, { "perSecond", rate.perSecond },
                    { "reporter", report.sender } });
    }
    advice.ratesEdition = editionInTerm(m_term, rates.edition());
    if (report.ratesKnown == advice.ratesEdition)
        return;
    rates.forEachLimit([&](const std::string& server, PerSecond limit) {
        wire::ServerRate& rate = advice.rates.emplace_back();
        rate.server = server;
        rate.limited = true;
        rate.perSecond = limit;
    });
}

void Coordinator::applyCrashReports(const wire::HostReport& report, Instant now, wire::HostAdvice& advice)
{
    m_crashes.setReportInterval(timing().reportInterval);
    for (const auto& crash : report.crashes)
        m_crashes.crashed({ crash.server, { crash.requests.begin(), crash.requests.end() } }, now);
    for (const int64_t request : report.answered)
        m_crashes.answered(static_cast<Fingerprint>(request));
    for (const int64_t request : report.released)
        m_crashes.release(static_cast<Fingerprint>(request));
    publishCrashes(now, report.sender);
    advice.crashesEdition = editionInTerm(m_term, m_publishedCrashesEdition);
    advice.suspects = m_publishedSuspects;
    advice.quarantined = m_publishedQuarantined;
}

// Changed lists are published at once, since more servers crash with each copy of these requests that is in flight.
void Coordinator::publishCrashes(Instant now, std::string_view reporter)
{
    const auto found = m_crashes.suspects(now);
    std::vector<int64_t> suspects(found.begin(), found.end());
    std::vector<int64_t> quarantined;
    for (const auto& request : m_crashes.quarantined(now))
        quarantined.push_back(static_cast<int64_t>(request.request));
    for (const auto& event : m_crashes.takeEvents())
        logChange(LogLevel::Warning, toString(event.kind),
            { { "fingerprint", formatFingerprint(event.request) }, { "crashes", event.crashes },
                { "server", event.server }, { "reporter", reporter } });
    if (m_publishedCrashesEdition && suspects == m_publishedSuspects && quarantined == m_publishedQuarantined)
        return;
    // The loss of a data centre produces hundreds of suspects within seconds, and the lists change with each report.
    // Lists that long are sent only with the answers to reports.
    constexpr Millis minPublishInterval { 100 };
    constexpr size_t maxPublishedRequests = 64;
    if (now - m_crashesPublishedAt < minPublishInterval)
        return; // left to a later step
    m_crashesPublishedAt = now;
    if (quarantined != m_publishedQuarantined)
        logChange(LogLevel::Warning, "quarantine-changed",
            { { "requests", quarantined.size() }, { "suspects", suspects.size() }, { "reporter", reporter } });
    ++m_publishedCrashesEdition;
    m_publishedSuspects = std::move(suspects);
    m_publishedQuarantined = std::move(quarantined);
    if (m_publishedSuspects.size() + m_publishedQuarantined.size() <= maxPublishedRequests)
        m_announcer.publishCrashes(
            editionInTerm(m_term, m_publishedCrashesEdition), m_publishedSuspects, m_publishedQuarantined);
    m_wakeUp.notifyAll();
}

void Coordinator::applyServerUse(const wire::HostReport& report, Instant now, wire::HostAdvice& advice)
{
    m_shares.setHosts(m_hosts.size(), timing().reportInterval);
    const auto servers = m_view.servers();
    std::vector<std::string> crowded;
    for (const auto& use : report.servers) {
        const auto known = servers->find(use.server);
        if (known == servers->end())
            continue;
        const RegisteredServer& server = known->second;
        m_shares.report(report.sender, use, server.slots, now);
        const auto plan = m_plans.find(server.service);
        if (use.workMicros > 0 && plan != m_plans.end())
            plan->second->onServedRequest(use.server, now);
        const bool keyed = plan != m_plans.end();
        auto share = m_shares.shareFor(report.sender, use.server, server.slots, keyed, now);
        if (!share)
            continue; // the server has free slots: the host needs no share
        if (share->crowded && !m_shares.rates().isLimited(use.server))
            crowded.push_back(use.server);
        advice.shares.push_back(std::move(*share));
    }
    publishCrowded(crowded);
    addSparePermits(report, now, advice);
}

// Offers permits for rate-limited servers without keys that the report doesn't name: a host sends such a server no
// requests as long as other servers can do the work.
void Coordinator::addSparePermits(const wire::HostReport& report, Instant now, wire::HostAdvice& advice)
{
    const auto servers = m_view.servers();
    m_shares.rates().forEachLimit([&](const std::string& id, PerSecond) {
        const auto known = servers->find(id);
        const bool named = std::any_of(
            report.servers.begin(), report.servers.end(), [&](const wire::ServerUse& use) { return use.server == id; });
        if (known == servers->end() || named || m_plans.count(known->second.service))
            return;
        auto share = m_shares.shareFor(report.sender, id, known->second.slots, false, now);
        if (share && share->permits)
            advice.shares.push_back(std::move(*share));
    });
}

void Coordinator::publishCrowded(std::span<const std::string> servers)
{
    const auto toPublish = m_shares.crowdsToAnnounce(servers, m_clock.now());
    if (toPublish.empty())
        return;
    m_crowdedServersPublished.add(toPublish.size());
    m_announcer.publishCrowded(toPublish);
}

}
