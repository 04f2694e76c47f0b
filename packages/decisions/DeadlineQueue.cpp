#include "decisions/DeadlineQueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace cumindale {

DeadlineQueue::DeadlineQueue(DeadlineQueueOptions options)
    : m_options(options)
{
}

Millis DeadlineQueue::meanWork(PriorityClass priority) const
{
    const double mean = m_meanMillis[static_cast<size_t>(priority)];
    return mean > 0 ? Millis(std::llround(mean)) : m_options.initialWork;
}

double DeadlineQueue::overallMeanMillis() const
{
    double sum = 0;
    int classCount = 0;
    for (const double mean : m_meanMillis) {
        sum += mean;
        classCount += mean > 0;
    }
    return classCount ? sum / classCount : static_cast<double>(m_options.initialWork.count());
}

Millis DeadlineQueue::requiredTime(const SlotRequest& request) const
{
    return Millis(std::llround(static_cast<double>(meanWork(request.priority).count()) * m_options.minWorkFraction));
}

bool DeadlineQueue::meetsTarget(const SlotRequest& request, Instant startTime) const
{
    return startTime + usualWork(request.priority) <= request.target;
}

Millis DeadlineQueue::usualWork(PriorityClass priority) const
{
    const double margin = m_options.targetDeviations * m_deviationMillis[static_cast<size_t>(priority)];
    return meanWork(priority) + Millis(std::llround(margin));
}

Instant DeadlineQueue::latestStart(const SlotRequest& request) const
{
    return request.deadline == Instant::max() ? request.deadline : request.deadline - requiredTime(request);
}

bool DeadlineQueue::unresponsive(Instant now) const
{
    const Millis silenceLimit(std::llround(overallMeanMillis() * m_options.unresponsiveFactor));
    return m_inFlight >= m_limit && now - m_lastProgress > std::max(m_options.minUnresponsiveTime, silenceLimit);
}

void DeadlineQueue::setLimit(double limit)
{
    constexpr double minFraction = 0.01; // one start per hundred times the mean work: practically none
    m_limit = limit < 1 ? 1 : static_cast<unsigned>(limit);
    m_limitFraction = std::clamp(limit, minFraction, 1.0);
    if (m_limitFraction >= 1)
        m_earliestStart = {};
}

void DeadlineQueue::setPermits(std::optional<unsigned> permits, Millis interval, Instant now)
{
    m_permits = permits;
    m_permitInterval = interval;
    if (permits)
        shedPredictedTimeouts(now);
}

double DeadlineQueue::startIntervalMillis() const
{
    if (m_permits)
        return static_cast<double>(m_permitInterval.count());
    return overallMeanMillis() / (m_limitFraction < 1 ? m_limitFraction : m_limit);
}

void DeadlineQueue::recordStart(Instant now)
{
    if (!m_inFlight)
        m_lastProgress = now;
    ++m_inFlight;
    if (m_permits)
        --*m_permits;
    else if (m_limitFraction < 1)
        m_earliestStart = now + Millis(std::llround(startIntervalMillis()));
}

bool DeadlineQueue::canStart(Instant now) const
{
    return m_permits ? *m_permits > 0 : m_inFlight < m_limit && now >= m_earliestStart;
}

Instant DeadlineQueue::nextStart(Instant now) const
{
    const bool delayed = !m_permits && m_inFlight < m_limit && m_earliestStart > now;
    return m_waiting.empty() || !delayed ? Instant::max() : m_earliestStart;
}

SlotQueue::Verdict DeadlineQueue::requestSlot(const SlotRequest& request, Instant now)
{
    if (now >= latestStart(request))
        return Verdict::Refused;
    if (canStart(now) && m_waiting.empty()) {
        recordStart(now);
        return Verdict::Started;
    }
    if (m_waiting.size() >= m_options.maxQueueLength)
        return Verdict::Refused;
    return enqueue(request, now);
}

SlotQueue::Verdict DeadlineQueue::enqueue(const SlotRequest& request, Instant now)
{
    if (unresponsive(now))
        return Verdict::Refused;
    const size_t lengths = m_waiting.size() / (m_options.alwaysShedLength + 1);
    const bool due = !lengths || now - m_shedAt >= static_cast<Millis::rep>(lengths) * m_options.sheddingInterval;
    m_waiting.push_back(request);
    if (due)
        shedPredictedTimeouts(now);
    else if (m_waiting.size() > m_options.maxQueueLength)
        shedLast(now);
    const auto shed = std::find(m_shed.begin(), m_shed.end(), request.ticket);
    if (shed == m_shed.end())
        return Verdict::Queued;
    m_shed.erase(shed);
    return Verdict::Refused;
}

DeadlineQueue::WaitingList::iterator DeadlineQueue::selectNext(
    WaitingList& waiting, Instant startTime, unsigned starts) const
{
    const bool oldestFirst = starts % m_options.oldestFirstInterval == 0;
    return std::min_element(waiting.begin(), waiting.end(),
        [&](const SlotRequest& a, const SlotRequest& b) { return goesFirst(a, b, startTime, oldestFirst); });
}

bool DeadlineQueue::goesFirst(const SlotRequest& a, const SlotRequest& b, Instant startTime, bool oldestFirst) const
{
    const bool aInTarget = meetsTarget(a, startTime);
    const bool bInTarget = meetsTarget(b, startTime);
    if (aInTarget != bInTarget)
        return aInTarget;
    if (oldestFirst)
        return a.arrived < b.arrived;
    if (a.rank != b.rank)
        return a.rank < b.rank;
    return aInTarget ? a.target < b.target : a.deadline < b.deadline;
}

// A queue that stays full sheds one request for each that arrives, which must cost little.
void DeadlineQueue::shedLast(Instant now)
{
    const double wait = startIntervalMillis() * static_cast<double>(m_waiting.size());
    const Instant lastStart = now + Millis(std::llround(wait));
    const auto last = std::max_element(m_waiting.begin(), m_waiting.end(),
        [&](const SlotRequest& a, const SlotRequest& b) { return goesFirst(a, b, lastStart, false); });
    m_shed.push_back(last->ticket);
    m_waiting.erase(last);
}

bool DeadlineQueue::willTimeOut(const SlotRequest& request, Instant startTime, Instant now) const
{
    const double wait = static_cast<double>((startTime - now).count());
    const double factor = meetsTarget(request, startTime) ? 1 : m_options.lateWaitFactor;
    return now + Millis(std::llround(wait * factor)) >= latestStart(request);
}

// Simulates the queue with its current requests and sheds those that would be overtaken until it is too late for them,
// and those that would start last if the queue is too long.
void DeadlineQueue::shedPredictedTimeouts(Instant now)
{
    m_shedAt = now;
    WaitingList remaining = m_waiting;
    const double interval = startIntervalMillis();
    double startDelayMillis = m_permits ? (*m_permits ? 0 : m_options.permitWaitFraction * interval) : interval;
    const unsigned firstStart = m_startCount + 1;
    for (unsigned starts = firstStart; !remaining.empty();) {
        const Instant startTime = now + Millis(std::llround(startDelayMillis));
        const auto next = selectNext(remaining, startTime, starts);
        const bool isFull = starts - firstStart >= m_options.maxQueueLength;
        if (isFull || willTimeOut(*next, startTime, now)) {
            m_shed.push_back(next->ticket);
        } else {
            startDelayMillis += interval;
            ++starts;
        }
        remaining.erase(next);
    }
    std::erase_if(m_waiting, [&](const SlotRequest& request) {
        return std::find(m_shed.begin(), m_shed.end(), request.ticket) != m_shed.end();
    });
}

void DeadlineQueue::startGranted(Instant now)
{
    if (!m_inFlight)
        m_lastProgress = now;
    ++m_inFlight;
}

bool DeadlineQueue::withdraw(TicketId ticket)
{
    return std::erase_if(m_waiting, [&](const SlotRequest& request) { return request.ticket == ticket; });
}

void DeadlineQueue::releaseSlot(PriorityClass priority, Millis took, Instant now)
{
    if (m_inFlight)
        --m_inFlight;
    if (!took.count())
        return;
    m_lastProgress = now;
    double& mean = m_meanMillis[static_cast<size_t>(priority)];
    const double millis = static_cast<double>(took.count());
    double& deviation = m_deviationMillis[static_cast<size_t>(priority)];
    if (mean > 0)
        deviation += m_options.smoothing * (std::abs(millis - mean) - deviation);
    mean = mean > 0 ? mean + m_options.smoothing * (millis - mean) : millis;
}

std::optional<TicketId> DeadlineQueue::startNext(Instant now)
{
    if (!canStart(now) || m_waiting.empty())
        return std::nullopt;
    const auto best = selectNext(m_waiting, now, ++m_startCount);
    const TicketId ticket = best->ticket;
    m_waiting.erase(best);
    recordStart(now);
    return ticket;
}

std::optional<TicketId> DeadlineQueue::takeNext(Instant now, const std::function<bool(const SlotRequest&)>& mayStart)
{
    WaitingList candidates;
    std::copy_if(m_waiting.begin(), m_waiting.end(), std::back_inserter(candidates), mayStart);
    if (candidates.empty())
        return std::nullopt;
    const TicketId ticket = selectNext(candidates, now, ++m_startCount)->ticket;
    withdraw(ticket);
    return ticket;
}

Millis DeadlineQueue::expectedWait(PriorityClass) const
{
    if (m_inFlight < m_limit)
        return Millis(0);
    return Millis(std::llround(startIntervalMillis() * static_cast<double>(m_waiting.size() + 1)));
}

}
