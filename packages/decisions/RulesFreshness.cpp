#include "decisions/RulesFreshness.h"

namespace cumindale {

namespace {

    // From the decision until the answer has left the host, and for clocks that run at different rates.
    constexpr Millis answerMargin { 250 };
    // A check must end before the document counts as unconfirmed.
    constexpr Millis checkTime { 500 };
    // A report and its answer, and the coordinator's pause after a batch of changes.
    constexpr Millis reportTransferTime { 220 };
    constexpr Millis minWatchDuration { 100 }; // ten calls a second by one host
    // Of a call that is answered at once, by a store that answers within half of the time that a check has.
    constexpr Millis answerTime = checkTime / 2;
    // Age of a coordinator's own confirmation while the store answers it, also of one of a former version: one poll,
    // and the report's way.
    constexpr Millis coordinatorAge { 1'000 };

    Millis partOf(Millis span, double fraction)
    {
        return Millis(static_cast<int64_t>(fraction * static_cast<double>(span.count())));
    }

}

// An empty watch confirms the document as of its start, and the next one ends a whole duration later: the coordinator's
// confirmation is up to two durations old when it answers a report.
ConfirmationTiming confirmationTiming(Millis rulesDeadline, Millis reportInterval)
{
    const Millis available = rulesDeadline - answerMargin - checkTime - reportTransferTime;
    // Where there is room, the rest is left to spread the hosts' checks after a loss.
    const Millis forWatches = available - reportInterval - (checkTime - answerTime);
    ConfirmationTiming timing;
    timing.watchDuration = std::clamp(forWatches / 2, minWatchDuration, maxWatchDuration);
    timing.reportInterval = std::min(reportInterval, available - 2 * timing.watchDuration);
    timing.oldest = timing.reportInterval + 2 * timing.watchDuration + reportTransferTime;
    timing.documentWait = available - timing.reportInterval;
    return timing;
}

RulesFreshness::RulesFreshness(Millis deadline)
    : m_deadline(deadline)
    , m_maxAge(std::max(Millis(0), deadline - answerMargin))
{
    setReportInterval(minReportInterval);
}

void RulesFreshness::setReportInterval(Millis interval)
{
    m_usualAge = std::max(confirmationTiming(m_deadline, interval).oldest, interval + coordinatorAge);
}

void RulesFreshness::received(int64_t revision, bool accepted)
{
    if (revision < m_revision)
        return;
    m_revision = revision;
    m_accepted = accepted;
    announced(revision);
}

void RulesFreshness::announced(int64_t revision) { m_newestRevision = std::max(m_newestRevision, revision); }

void RulesFreshness::confirmed(int64_t revision, Instant asOf, int64_t storeRevision)
{
    checked(revision, asOf, storeRevision);
    m_confirmedWithOthersAt = std::max(m_confirmedWithOthersAt, asOf);
}

void RulesFreshness::checked(int64_t revision, Instant asOf, int64_t storeRevision)
{
    announced(revision);
    if (!outdated())
        m_knownUpTo = std::max(m_knownUpTo, storeRevision);
    m_confirmedAt = std::max(m_confirmedAt, asOf);
}

RulesValidity RulesFreshness::validity() const
{
    const bool confirmed = m_confirmedAt != Instant {} && m_accepted && !outdated();
    return { m_revision, m_confirmedAt, confirmed ? m_confirmedAt + m_maxAge : Instant {} };
}

// A poll is as old as its start when it is answered, and the next one is answered after as long again.
Millis RulesFreshness::watchDuration() const { return std::max(checkTime, (m_maxAge - checkTime) / 2); }

Millis RulesFreshness::latestCheck() const { return std::max(Millis(0), m_maxAge - answerTime); }

// Checks that follow on each other take watchDuration() each, so the first ones, spread over as long, come no faster
// than all later ones. If answers to reports confirm the document, no check may come before the next answer.
Millis RulesFreshness::firstCheck() const
{
    const Millis spread = latestCheck() - watchDuration();
    const Millis usualAge = std::min(m_usualAge, m_maxAge - checkTime);
    return std::max({ Millis(0), spread, usualAge });
}

Instant RulesFreshness::nextCheck(double phase) const
{
    const Millis first = firstCheck();
    return m_confirmedWithOthersAt + first + partOf(latestCheck() - first, phase);
}

Instant RulesFreshness::checkAfterLoss(Instant now, double phase) const
{
    return now + partOf(std::max(Millis(0), m_confirmedWithOthersAt + latestCheck() - now), phase);
}

}
