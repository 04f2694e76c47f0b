#include "decisions/Admission.h"

#include <algorithm>
#include <cmath>

namespace cumindale {

namespace {

    constexpr double newestWeight = 0.1; // of the newest work in the moving average
    constexpr double waitOverWork = 3; // a wait of so many times the class's own work is always worth it

}

Admission::Admission(AdmissionOptions options)
    : m_options(options)
{
}

Admission::Verdict Admission::ask(
    TicketId ticket, PriorityClass priority, Instant arrived, Instant now, Instant deadline)
{
    if (m_inFlight < m_limit && m_places.empty()) {
        ++m_inFlight;
        return Verdict::Started;
    }
    const Millis wait = expectedWait(priority);
    if (m_places.size() >= m_options.longestQueue || wait > longestWait(priority) || now + wait >= deadline)
        return Verdict::Refused;
    ClassState& state = stateOf(priority);
    if (state.waiting.empty())
        joinRound(state);
    const Place place { toMillis(arrived), ticket };
    state.waiting.emplace(place, ticket);
    m_places.emplace(ticket, std::pair { priority, place });
    return Verdict::Queued;
}

void Admission::joinRound(ClassState& joining)
{
    // A class that had nothing waiting has saved nothing up: it starts level with the least used of the others.
    double least = -1;
    for (const auto& state : m_classes) {
        if (!state.waiting.empty() && (least < 0 || state.used < least))
            least = state.used;
    }
    joining.used = std::max(joining.used, least);
}

bool Admission::withdraw(TicketId ticket)
{
    const auto found = m_places.find(ticket);
    if (found == m_places.end())
        return false;
    stateOf(found->second.first).waiting.erase(found->second.second);
    m_places.erase(found);
    return true;
}

void Admission::finished(PriorityClass priority, Millis took)
{
    if (m_inFlight)
        --m_inFlight;
    if (!took.count())
        return;
    ClassState& state = stateOf(priority);
    const double millis = static_cast<double>(took.count());
    state.meanMillis += newestWeight * (millis - state.meanMillis);
}

std::optional<TicketId> Admission::startNext()
{
    if (m_inFlight >= m_limit)
        return std::nullopt;
    ClassState* next = nullptr;
    size_t nextIndex = 0;
    for (size_t i = 0; i < m_classes.size(); ++i) {
        if (!m_classes[i].waiting.empty() && (!next || m_classes[i].used < next->used)) {
            next = &m_classes[i];
            nextIndex = i;
        }
    }
    if (!next)
        return std::nullopt;
    const TicketId ticket = next->waiting.begin()->second;
    next->waiting.erase(next->waiting.begin());
    m_places.erase(ticket);
    // Charged when it starts, by what its class takes on average: slow work under way counts at once.
    next->used += next->meanMillis / m_options.classes[nextIndex].share;
    ++m_inFlight;
    return ticket;
}

Millis Admission::longestWait(PriorityClass priority) const
{
    const double work = waitOverWork * m_classes[static_cast<size_t>(priority)].meanMillis;
    return std::max(policyOf(priority).longestWait, Millis(std::llround(work)));
}

Millis Admission::meanWork(PriorityClass priority) const
{
    return Millis(std::llround(m_classes[static_cast<size_t>(priority)].meanMillis));
}

Millis Admission::expectedWait(PriorityClass priority) const
{
    const ClassState& mine = m_classes[static_cast<size_t>(priority)];
    double shares = 0;
    for (size_t i = 0; i < m_classes.size(); ++i) {
        if (&m_classes[i] == &mine || !m_classes[i].waiting.empty())
            shares += m_options.classes[i].share;
    }
    const double slots = m_limit * policyOf(priority).share / shares;
    const double ahead = static_cast<double>(mine.waiting.size() + 1);
    return Millis(std::llround(std::ceil(ahead * mine.meanMillis / slots)));
}

}
