// The part of the GatewayControl that keeps track of how recent the operators' document is, for this host's routing
// thread and, as the coordinator, for the hosts that report here.
#include "gateway/GatewayControl.h"

#include "decisions/RelayPlan.h"

#include <algorithm>
#include <boost/json/object.hpp>

namespace cumindale {

// A watch of the store is answered several times a second; most answers needn't be passed on.
void GatewayControl::pushRulesValidity()
{
    constexpr Millis minStep { 100 };
    const RulesValidity validity = m_view.rulesFreshness().validity();
    const bool turned = validity.revision != m_rulesValidity.revision
        || (validity.until == Instant {}) != (m_rulesValidity.until == Instant {});
    if (!turned && validity.confirmedAt - m_rulesValidity.confirmedAt < minStep)
        return;
    GatewayUpdate update;
    update.rulesValidity = validity;
    if (pushUpdate(std::move(update)))
        m_rulesValidity = validity;
}

wire::HostAdvice GatewayControl::answerReport(const wire::HostReport& report, bool mayBeLarge)
{
    const bool awaits = report.awaitsCoordinator;
    wire::HostAdvice advice
        = awaits ? answerAwaitingHost(report, mayBeLarge) : m_coordinator.onReport(report, mayBeLarge);
    const RulesFreshness& rules = m_view.rulesFreshness();
    if ((!advice.coordinates && !awaits) || rules.confirmedAt() == Instant {})
        return advice;
    advice.rulesRevision = rules.newestRevision();
    const auto age = (m_clock.now() - rules.confirmedAt()).count();
    advice.rulesAgeMillis = static_cast<int32_t>(std::min<int64_t>(age, INT32_MAX));
    return advice;
}

void GatewayControl::takeRulesConfirmation(const wire::HostAdvice& advice, Instant reportedAt)
{
    if (!advice.rulesRevision)
        return; // the coordinator can't confirm the document, or is of a version that doesn't
    const bool wasOutdated = m_view.rulesFreshness().outdated();
    m_view.confirmRules(advice.rulesRevision, reportedAt - Millis(advice.rulesAgeMillis), advice.storeRevision);
    if (m_view.rulesFreshness().outdated() && !wasOutdated)
        expectRules(advice.rulesRevision, deliveryTimeout(0));
    pushRulesValidity();
}

void GatewayControl::expectRules(int64_t revision, Millis messageTime)
{
    m_view.announceRules(revision);
    m_rulesWatcher.expectDocument(messageTime);
}

void GatewayControl::addRulesStatus(boost::json::object& status) const
{
    const RulesFreshness& rules = m_view.rulesFreshness();
    const bool confirmed = rules.confirmedAt() != Instant {};
    status["rulesVersion"] = m_view.rules() ? m_view.rules()->version : 0;
    status["rulesRevision"] = rules.revision();
    status["newestRulesRevision"] = rules.newestRevision();
    status["rulesConfirmedMsAgo"] = confirmed ? (m_clock.now() - rules.confirmedAt()).count() : -1;
}

}
