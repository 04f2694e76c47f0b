// The part of the GatewayControl by which hosts learn of changes of the store while no coordinator answers them: by
// their own watches, or from the hosts that were standbys of the last coordinator.
#include "gateway/GatewayControl.h"

#include "base/Log.h"

#include <algorithm>

namespace cumindale {

// --- As a standby

// Answers as one that doesn't coordinate even if this host does: the report lacks what a coordinator needs, and the
// sender reports to the coordinator anyway as soon as it knows it.
wire::HostAdvice GatewayControl::answerAwaitingHost(const wire::HostReport& report, bool mayBeLarge)
{
    m_awaitingAnswered.add();
    if (!isAskedByAwaitingHosts())
        logChange(LogLevel::Info, "awaiting-hosts-ask", { { "reporter", report.sender } });
    m_awaitingAskedAt = m_clock.now();
    wire::HostAdvice advice = m_coordinator.missedChanges(report, mayBeLarge);
    advice.storeSilentMillis = (m_clock.now() - m_follower.lastAnswer()).count();
    advice.watchesStore = m_follower.watchAnsweredWithin(maxStoreSilence);
    // The sender's coordinator may have been lost before this host's own report shows it.
    m_follower.followStore();
    return advice;
}

bool GatewayControl::isAskedByAwaitingHosts() const
{
    const bool asked = m_awaitingAskedAt != Instant {};
    return asked && m_clock.now() - m_awaitingAskedAt <= fleetTiming(knownHosts()).hostTimeout;
}

// --- As a host that awaits a coordinator

// A new coordinator has heard of few hosts at first.
size_t GatewayControl::knownHosts() const
{
    return std::max({ m_mostHosts, m_view.listedHosts().size(), m_follower.fleetSize().hosts });
}

// The coordinator and the standbys, one of which is the next one, need all changes at once.
void GatewayControl::followWithoutCoordinator()
{
    const bool coordinates = m_election.isLeader() || m_view.leader().host == m_settings.host.name;
    const bool mayWatchAll = storeCarriesAllWatches(knownHosts(), m_view.servers()->size());
    // This host reaches neither the coordinator, which leads without answering it, nor a standby.
    constexpr Millis maxWait { 10'000 };
    const Instant lastHeard = std::max(m_lastAdvice, m_lastStandbyAnswer);
    const bool unreachable = !m_view.leader().host.empty() && m_clock.now() - lastHeard > maxWait;
    const bool mayRead = !m_follower.awaitsFirstSnapshot();
    const bool watches
        = coordinates || (mayRead && (m_isStandby || mayWatchAll || unreachable || isAskedByAwaitingHosts()));
    if (watches)
        m_follower.followStore();
    else
        m_follower.awaitCoordinator();
    // The store may turn away this host and not those that it asks.
    const bool asks = !coordinates && !mayWatchAll && !(watches && m_follower.watchAnsweredWithin(maxStoreSilence));
    if (!asks)
        m_standbyReader.stop();
    else if (m_standbyReader.start(m_reportInterval))
        m_rulesWatcher.checkSoon();
}

// Complete but for what the host has seen of servers, so that a host of a former version that coordinates by now takes
// it for a report of an idle host.
wire::HostReport GatewayControl::makeStandbyReport() const
{
    wire::HostReport report;
    describeHost(report);
    for (const auto& [name, table] : m_view.tables()) {
        wire::ServiceUse& service = report.services.emplace_back();
        service.serviceName = name;
        service.term = table->edition.term;
        service.edition = static_cast<int64_t>(table->edition.edition);
    }
    report.awaitsCoordinator = true;
    return report;
}

// Nothing but changes of the store is taken, so that no answer makes this host believe that it has a coordinator.
StandbyAnswer GatewayControl::takeStandbyAnswer(const wire::HostAdvice& advice, Instant askedAt)
{
    wire::News missed;
    missed.afterChange = advice.missed.afterChange;
    missed.lastChange = advice.missed.lastChange;
    missed.items = advice.missed.items;
    missed.packedItems = advice.missed.packedItems;
    handleNews(missed);
    takeRulesConfirmation(advice, askedAt);
    if (!advice.watchesStore)
        return StandbyAnswer::StoreSilent;
    if (m_view.lastChange() < advice.lastChange)
        return StandbyAnswer::Incomplete;
    m_view.confirmUnchanged(advice.lastChange, advice.storeRevision);
    m_follower.recordRelayed(Millis(advice.storeSilentMillis), true);
    m_lastStandbyAnswer = askedAt;
    return StandbyAnswer::Recent;
}

}
