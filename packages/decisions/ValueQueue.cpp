#include "decisions/ValueQueue.h"

#include <algorithm>
#include <cmath>

namespace cumindale {

ValueQueue::ValueQueue(ValueQueueOptions options)
    : m_options(options)
{
}

Millis ValueQueue::meanWork(PriorityClass priority) const
{
    const double mean = m_meanMillis[static_cast<size_t>(priority)];
    return mean > 0 ? Millis(std::llround(mean)) : m_options.firstWork;
}

double ValueQueue::meanOfAll() const
{
    double sum = 0;
    int known = 0;
    for (const double mean : m_meanMillis) {
        sum += mean;
        known += mean > 0;
    }
    return known ? sum / known : static_cast<double>(m_options.firstWork.count());
}

Millis ValueQueue::needed(const SlotRequest& request) const
{
    return Millis(std::llround(static_cast<double>(meanWork(request.priority).count()) * m_options.leastTime));
}

bool ValueQueue::inTarget(const SlotRequest& request, Instant start) const
{
    return start + needed(request) <= request.target;
}

Instant ValueQueue::giveUpAt(const SlotRequest& request) const
{
    return request.deadline == Instant::max() ? request.deadline : request.deadline - needed(request);
}

bool ValueQueue::hanging(Instant now) const
{
    const Millis patience(std::llround(meanOfAll() * m_options.hangingAfter));
    return m_inFlight >= m_limit && now - m_lastSign > std::max(m_options.leastHanging, patience);
}

void ValueQueue::start(Instant now)
{
    if (!m_inFlight)
        m_lastSign = now;
    ++m_inFlight;
}

SlotQueue::Verdict ValueQueue::ask(const SlotRequest& request, Instant now)
{
    if (now >= giveUpAt(request))
        return Verdict::Refused;
    if (m_inFlight < m_limit && m_waiting.empty()) {
        start(now);
        return Verdict::Started;
    }
    if (m_waiting.size() >= m_options.longestQueue || hanging(now))
        return Verdict::Refused;
    // Ahead of it: what is at work, and what would be chosen before it.
    const auto ahead = std::count_if(m_waiting.begin(), m_waiting.end(), [&](const SlotRequest& other) {
        return other.rank < request.rank || (other.rank == request.rank && other.target <= request.target);
    });
    const double wait = meanOfAll() * static_cast<double>(ahead + 1) / m_limit;
    const Instant start = now + Millis(std::llround(wait));
    if (start >= giveUpAt(request))
        return Verdict::Refused;
    if (!inTarget(request, start)) {
        const auto late = std::count_if(
            m_waiting.begin(), m_waiting.end(), [&](const SlotRequest& other) { return !inTarget(other, now); });
        if (static_cast<double>(late) >= m_options.lateWaiters * m_limit)
            return Verdict::Refused;
    }
    m_waiting.push_back(request);
    return Verdict::Queued;
}

bool ValueQueue::withdraw(TicketId ticket)
{
    return std::erase_if(m_waiting, [&](const SlotRequest& request) { return request.ticket == ticket; });
}

void ValueQueue::finished(PriorityClass priority, Millis took, Instant now)
{
    if (m_inFlight)
        --m_inFlight;
    if (!took.count())
        return;
    m_lastSign = now;
    double& mean = m_meanMillis[static_cast<size_t>(priority)];
    const double millis = static_cast<double>(took.count());
    mean = mean > 0 ? mean + m_options.newestWeight * (millis - mean) : millis;
}

std::optional<TicketId> ValueQueue::startNext(Instant now)
{
    if (m_inFlight >= m_limit || m_waiting.empty())
        return std::nullopt;
    const bool oldestFirst = ++m_starts % m_options.turnOfLowerRanks == 0;
    const auto better = [&](const SlotRequest& a, const SlotRequest& b) {
        const bool aInTarget = inTarget(a, now);
        const bool bInTarget = inTarget(b, now);
        if (aInTarget != bInTarget)
            return aInTarget;
        if (oldestFirst)
            return a.arrived < b.arrived;
        if (a.rank != b.rank)
            return a.rank < b.rank;
        return aInTarget ? a.target < b.target : a.deadline < b.deadline;
    };
    const auto best = std::min_element(m_waiting.begin(), m_waiting.end(), better);
    const TicketId ticket = best->ticket;
    m_waiting.erase(best);
    start(now);
    return ticket;
}

Millis ValueQueue::expectedWait(PriorityClass) const
{
    if (m_inFlight < m_limit)
        return Millis(0);
    return Millis(std::llround(meanOfAll() * static_cast<double>(m_waiting.size() + 1) / m_limit));
}

}
