// Admission to one backend server on one host: a concurrency limit and a bounded queue.
//
// The queue is ordered by class and age: a request's place is its arrival plus a penalty of its class. Lookups
// pass archive reads, but an archive read that has waited out its penalty goes before newer lookups, so it
// always progresses.
//
// A request is refused at once, with when to come back, if the queue is full, the wait for those before it is
// longer than its class is to wait, or its deadline can't be met.
#pragma once

#include "base/Time.h"
#include "decisions/Resources.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace cumindale {

struct AdmissionOptions {
    size_t longestQueue = 256;
    std::array<Millis, priorityClassCount> penalty { Millis(0), Millis(0), Millis(500), Millis(2000) };
    // The longest wait that is worth it. Under overload a short queue answers those it takes in time, and tells
    // the others at once when to come back; a long one makes everybody late.
    std::array<Millis, priorityClassCount> longestWait { Millis(150), Millis(250), Millis(2000), Millis(60'000) };
};

using TicketId = uint64_t;

class Admission {
public:
    explicit Admission(AdmissionOptions);

    void setLimit(unsigned limit) { m_limit = limit ? limit : 1; }
    unsigned limit() const { return m_limit; }
    unsigned inFlight() const { return m_inFlight; }
    size_t queued() const { return m_queue.size(); }

    // --- Asking for a slot
    enum class Verdict : uint8_t { Started, Queued, Refused };
    Verdict ask(TicketId, PriorityClass, Instant arrived, Instant now, Instant deadline); // arrived: its age counts
    bool withdraw(TicketId); // leaves the queue: the caller went away or the deadline passed; false if not in it

    // --- Giving a slot back
    void finished(Millis took); // one in flight has ended
    std::optional<TicketId> startNext(); // the next from the queue, now counted in flight; call until empty

    Millis expectedWait(PriorityClass, Instant arrived) const; // of a request that would join the queue now

private:
    using Place = std::pair<int64_t, TicketId>; // arrival plus penalty in ms; the id keeps arrival order

    Place placeOf(PriorityClass, Instant arrived, TicketId) const;

    AdmissionOptions m_options;
    unsigned m_limit = 1;
    unsigned m_inFlight = 0;
    double m_meanServiceMillis = 5; // moving average
    std::map<Place, TicketId> m_queue;
    std::map<TicketId, Place> m_places;
};

}
