// Interface of the queues that decide which request gets the next slot of one backend server on one host.
//
//     Admission       weighted shares of the server's time for the priority classes (hashed keys)
//     DeadlineQueue   requests that can still meet their target latency first (routes with ranks and targets)
#pragma once

#include "base/Time.h"
#include "decisions/Resources.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cumindale {

using TicketId = uint64_t;

// A request that needs a slot.
struct SlotRequest {
    TicketId ticket = 0;
    PriorityClass priority = PriorityClass::Interactive;
    unsigned rank = 0; // 0 is the highest
    Instant arrived {}; // determines the request's age
    Instant target = Instant::max(); // an answer up to this time has its full value
    Instant deadline = Instant::max(); // a later answer has no value
    uint64_t identity = 0; // the same when the caller returns with the request after a refusal; 0: not known
};

class SlotQueue {
public:
    virtual ~SlotQueue() = default;

    // Maximum number of concurrent requests. Below 1, a single request at a time may run, and starts are spaced so that
    // the average concurrency matches the limit.
    virtual void setLimit(double) = 0;
    // Replaces the limit by a number of permitted starts; further permits are expected about once per interval, the
    // second parameter. std::nullopt: the limit applies again. takeShed() returns the requests that are shed by this.
    virtual void setPermits(std::optional<unsigned>, Millis, Instant) { }
    virtual unsigned permits() const { return 0; } // permitted starts that are left
    virtual unsigned limit() const = 0;
    virtual unsigned inFlight() const = 0;
    virtual size_t queued() const = 0;

    // --- Requesting a slot
    enum class Verdict : uint8_t { Started, Queued, Refused };
    virtual Verdict requestSlot(const SlotRequest&, Instant now) = 0;
    // Requests that were removed from the queue unserved; call after each requestSlot() and setPermits().
    virtual std::vector<TicketId> takeShed() { return {}; }
    virtual bool withdraw(TicketId) = 0; // removes a request from the queue; false if it isn't queued
    virtual Instant latestStart(const SlotRequest&) const = 0; // the request isn't worth starting from this time on

    // Counts a request that starts by a slot that was granted elsewhere, whatever the limit.
    virtual void startGranted(Instant now) = 0;

    // --- Releasing a slot
    virtual void releaseSlot(PriorityClass, Millis took, Instant now) = 0; // 0: the slot was not used
    // Moves the next request from the queue into flight; call until it returns nothing.
    virtual std::optional<TicketId> startNext(Instant now) = 0;

    // Time at which a queued request may start although no request in flight has ended.
    virtual Instant nextStart(Instant) const { return Instant::max(); }

    virtual Millis meanWork(PriorityClass) const = 0; // mean time from sending a request of the class to its end
    virtual Millis expectedWait(PriorityClass) const = 0; // of a request that joins the queue now
};

}
