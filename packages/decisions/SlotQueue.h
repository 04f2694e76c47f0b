// Who gets the next slot of one backend server on one host: the interface of the two ways to decide it.
//
//     Admission    shares of the server's time between classes (hashed keys)
//     DeadlineQueue   what is still of full use to its caller goes first (routes with ranks and targets)
#pragma once

#include "base/Time.h"
#include "decisions/Resources.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cumindale {

using TicketId = uint64_t;

// One request that asks for a slot.
struct SlotRequest {
    TicketId ticket = 0;
    PriorityClass priority = PriorityClass::Interactive;
    unsigned rank = 0; // 0 goes first
    Instant arrived {}; // its age counts
    Instant target = Instant::max(); // an answer by then is of full use
    Instant deadline = Instant::max(); // one after it is of none
};

class SlotQueue {
public:
    virtual ~SlotQueue() = default;

    // Requests at once. Below 1 there is one at the most, and after each a pause, so that on average there are so many.
    virtual void setLimit(double) = 0;
    // Instead of a limit: so many starts are allowed, and more may be in about `pause` each. Nothing: the limit counts.
    // What it lets go for that is told by takeShed().
    virtual void setPermits(std::optional<unsigned>, Millis, Instant) { }
    virtual unsigned permits() const { return 0; } // left of these
    virtual unsigned limit() const = 0;
    virtual unsigned inFlight() const = 0;
    virtual size_t queued() const = 0;

    // --- Asking for a slot
    enum class Verdict : uint8_t { Started, Queued, Refused };
    virtual Verdict requestSlot(const SlotRequest&, Instant now) = 0;
    virtual std::vector<TicketId> takeShed() { return {}; } // waited in vain; call after each ask() and setPermits()
    virtual bool withdraw(TicketId) = 0; // leaves the queue; false if not in it
    virtual Instant latestStart(const SlotRequest&) const = 0; // no longer worth waiting from then on

    // --- Giving a slot back
    virtual void releaseSlot(PriorityClass, Millis took, Instant now) = 0; // 0: it was not used
    virtual std::optional<TicketId> startNext(Instant now) = 0; // now counted in flight; call until empty

    virtual Instant nextStart(Instant) const
    {
        return Instant::max();
    } // what waits may start then without a slot's end

    virtual Millis meanWork(PriorityClass) const = 0; // of the class at this server, from the moment it is sent
    virtual Millis expectedWait(PriorityClass) const = 0; // of a request that would join the queue now
};

}
