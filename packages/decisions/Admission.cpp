#include "decisions/Admission.h"

#include <algorithm>
#include <cmath>

namespace cumindale {

namespace {

    constexpr double smoothing = 0.1; // weight of the newest work in the moving average
    constexpr double maxWaitOverWork = 3; // a wait of up to this multiple of the class's mean work is accepted

}

Admission::Admission(AdmissionOptions options)
    : m_options(options)
{
}

Admission::Verdict Admission::requestSlot(
    TicketId ticket, PriorityClass priority, Instant arrived, Instant now, Instant deadline)
{
    if (m_inFlight < m_limit && m_queueKeys.empty()) {
        ++m_inFlight;
        return Verdict::Started;
    }
    const Millis wait = expectedWait(priority);
    if (m_queueKeys.size() >= m_options.maxQueueLength || wait > maxWait(priority) || now + wait >= deadline)
        return Verdict::Refused;
    ClassState& state = stateOf(priority);
    if (state.waiting.empty())
        alignVirtualTime(state);
    const QueueKey queueKey { toMillis(arrived), ticket };
    state.waiting.emplace(queueKey, ticket);
    m_queueKeys.emplace(ticket, std::pair { priority, queueKey });
    return Verdict::Queued;
}

void Admission::alignVirtualTime(ClassState& activated)
{
    // An idle class accumulates no credit: it resumes at the lowest virtual time of the classes with waiting requests.
    double lowest = -1;
    for (const auto& state : m_classes) {
        if (!state.waiting.empty() && (lowest < 0 || state.virtualTime < lowest))
            lowest = state.virtualTime;
    }
    activated.virtualTime = std::max(activated.virtualTime, lowest);
}

bool Admission::withdraw(TicketId ticket)
{
    const auto found = m_queueKeys.find(ticket);
    if (found == m_queueKeys.end())
        return false;
    stateOf(found->second.first).waiting.erase(found->second.second);
    m_queueKeys.erase(found);
    return true;
}

void Admission::releaseSlot(PriorityClass priority, Millis took)
{
    if (m_inFlight)
        --m_inFlight;
    if (!took.count())
        return;
    ClassState& state = stateOf(priority);
    const double millis = static_cast<double>(took.count());
    state.meanMillis += smoothing * (millis - state.meanMillis);
}

std::optional<TicketId> Admission::startNext()
{
    if (m_inFlight >= m_limit)
        return std::nullopt;
    ClassState* next = nullptr;
    size_t nextIndex = 0;
    for (size_t i = 0; i < m_classes.size(); ++i) {
        if (!m_classes[i].waiting.empty() && (!next || m_classes[i].virtualTime < next->virtualTime)) {
            next = &m_classes[i];
            nextIndex = i;
        }
    }
    if (!next)
        return std::nullopt;
    const TicketId ticket = next->waiting.begin()->second;
    next->waiting.erase(next->waiting.begin());
    m_queueKeys.erase(ticket);
    // The class is charged its mean work when the request starts, so that slow work in progress counts immediately.
    next->virtualTime += next->meanMillis / m_options.classes[nextIndex].share;
    ++m_inFlight;
    return ticket;
}

Millis Admission::maxWait(PriorityClass priority) const
{
    const double workMillis = maxWaitOverWork * m_classes[static_cast<size_t>(priority)].meanMillis;
    return std::max(policyOf(priority).maxWait, Millis(std::llround(workMillis)));
}

Millis Admission::meanWork(PriorityClass priority) const
{
    return Millis(std::llround(m_classes[static_cast<size_t>(priority)].meanMillis));
}

Millis Admission::expectedWait(PriorityClass priority) const
{
    const ClassState& own = m_classes[static_cast<size_t>(priority)];
    double activeShares = 0;
    for (size_t i = 0; i < m_classes.size(); ++i) {
        if (&m_classes[i] == &own || !m_classes[i].waiting.empty())
            activeShares += m_options.classes[i].share;
    }
    const double ownSlots = m_limit * policyOf(priority).share / activeShares;
    const double ahead = static_cast<double>(own.waiting.size() + 1);
    return Millis(std::llround(std::ceil(ahead * own.meanMillis / ownSlots)));
}

}
