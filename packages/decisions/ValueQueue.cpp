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
    return start + meanWork(request.priority) <= request.target;
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

void ValueQueue::setLimit(double limit)
{
    constexpr double leastPart = 0.01; // a pause of a hundred times the work: as good as none
    m_limit = limit < 1 ? 1 : static_cast<unsigned>(limit);
    m_part = std::clamp(limit, leastPart, 1.0);
    if (m_part >= 1)
        m_notBefore = {};
}

double ValueQueue::millisPerStart() const { return meanOfAll() / (m_part < 1 ? m_part : m_limit); }

void ValueQueue::start(Instant now)
{
    if (!m_inFlight)
        m_lastSign = now;
    ++m_inFlight;
    if (m_part < 1)
        m_notBefore = now + Millis(std::llround(millisPerStart()));
}

Instant ValueQueue::nextStart(Instant now) const
{
    return m_waiting.empty() || m_inFlight >= m_limit || m_notBefore <= now ? Instant::max() : m_notBefore;
}

SlotQueue::Verdict ValueQueue::ask(const SlotRequest& request, Instant now)
{
    if (now >= giveUpAt(request))
        return Verdict::Refused;
    if (mayStart(now) && m_waiting.empty()) {
        start(now);
        return Verdict::Started;
    }
    if (m_waiting.size() >= m_options.longestQueue || hanging(now))
        return Verdict::Refused;
    // Ahead of it: what is at work, and what would be chosen before it.
    const auto ahead = std::count_if(m_waiting.begin(), m_waiting.end(), [&](const SlotRequest& other) {
        return other.rank < request.rank || (other.rank == request.rank && other.target <= request.target);
    });
    const double wait = millisPerStart() * static_cast<double>(ahead + 1);
    const Instant start = now + Millis(std::llround(wait));
    if (start >= giveUpAt(request))
        return Verdict::Refused;
    if (!inTarget(request, start)) {
        const Instant lateStart = now + Millis(std::llround(wait * m_options.lateFactor));
        if (lateStart >= giveUpAt(request))
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
    if (!mayStart(now) || m_waiting.empty())
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
    return Millis(std::llround(millisPerStart() * static_cast<double>(m_waiting.size() + 1)));
}

}
