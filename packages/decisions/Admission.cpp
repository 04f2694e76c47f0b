#include "decisions/Admission.h"

#include <cmath>

namespace cumindale {

namespace {

    constexpr double meanWeight = 0.1; // of the newest service time in the moving average

}

Admission::Admission(AdmissionOptions options)
    : m_options(options)
{
}

Admission::Verdict Admission::ask(
    TicketId ticket, PriorityClass priority, Instant arrived, Instant now, Instant deadline)
{
    if (m_inFlight < m_limit && m_queue.empty()) {
        ++m_inFlight;
        return Verdict::Started;
    }
    const Millis wait = expectedWait(priority, arrived);
    const bool tooLong = wait > m_options.longestWait[static_cast<size_t>(priority)] || now + wait >= deadline;
    if (m_queue.size() >= m_options.longestQueue || tooLong)
        return Verdict::Refused;
    const Place place = placeOf(priority, arrived, ticket);
    m_queue.emplace(place, ticket);
    m_places.emplace(ticket, place);
    return Verdict::Queued;
}

bool Admission::withdraw(TicketId ticket)
{
    const auto place = m_places.find(ticket);
    if (place == m_places.end())
        return false;
    m_queue.erase(place->second);
    m_places.erase(place);
    return true;
}

void Admission::finished(Millis took)
{
    if (m_inFlight)
        --m_inFlight;
    m_meanServiceMillis += meanWeight * (static_cast<double>(took.count()) - m_meanServiceMillis);
}

std::optional<TicketId> Admission::startNext()
{
    if (m_queue.empty() || m_inFlight >= m_limit)
        return std::nullopt;
    const auto first = m_queue.begin();
    const TicketId ticket = first->second;
    m_places.erase(ticket);
    m_queue.erase(first);
    ++m_inFlight;
    return ticket;
}

Admission::Place Admission::placeOf(PriorityClass priority, Instant arrived, TicketId ticket) const
{
    return { toMillis(arrived + m_options.penalty[static_cast<size_t>(priority)]), ticket };
}

Millis Admission::expectedWait(PriorityClass priority, Instant arrived) const
{
    const auto behind = m_queue.lower_bound(placeOf(priority, arrived, UINT64_MAX));
    const double ahead = static_cast<double>(std::distance(m_queue.begin(), behind) + 1);
    return Millis(std::llround(std::ceil(ahead * m_meanServiceMillis / m_limit)));
}

}
