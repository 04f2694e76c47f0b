// Admission to one backend server on one host: a concurrency limit and a bounded queue.
//
// Each class has a share of the server's time while it has requests waiting; what a class leaves goes to the
// others. So lookups and claims stay quick under overload, and archive reads progress by their share, however
// long it lasts. Within a class the oldest goes first. (Reserved shares with borrowing: "Sharing One Provider
// Quota Across Many Customers"; start-time fair queueing: Goyal, Vin, Cheng 1996. Taken for the figure in
// docs/DESIGN.md.)
//
// A request is refused at once, with when to come back, if the queue is full, the wait to expect is longer than
// its class is to wait, or its deadline can't be met.
#pragma once

#include "base/Time.h"
#include "decisions/SlotQueue.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace cumindale {

// How one class of requests is treated.
struct ClassPolicy {
    double share = 1; // of the server's time, against the classes that wait as well
    Millis maxWait { 0 }; // worth waiting for; a few times the class's own work if that is longer
};

struct AdmissionOptions {
    size_t maxQueueLength = 256; // over all classes
    // Under overload a short queue answers those it takes in time, and tells the others at once when to come
    // back; a long one makes everybody late. Archive reads may wait to their deadline.
    std::array<ClassPolicy, priorityClassCount> classes { {
        { 6, Millis(50) }, // interactive
        { 6, Millis(80) }, // submission
        { 2, Millis(1000) }, // upload
        { 1, Millis(60'000) }, // background
    } };
};

class Admission final : public SlotQueue {
public:
    explicit Admission(AdmissionOptions);

    void setLimit(double limit) override { m_limit = limit < 1 ? 1 : static_cast<unsigned>(limit); }
    unsigned limit() const override { return m_limit; }
    unsigned inFlight() const override { return m_inFlight; }
    size_t queued() const override { return m_queueKeys.size(); }

    // --- Asking for a slot
    Verdict requestSlot(const SlotRequest& request, Instant now) override
    {
        return requestSlot(request.ticket, request.priority, request.arrived, now, request.deadline);
    }
    Instant latestStart(const SlotRequest& request) const override { return request.deadline; }
    Verdict requestSlot(
        TicketId, PriorityClass, Instant arrived, Instant now, Instant deadline); // arrived: its age counts
    bool withdraw(
        TicketId) override; // leaves the queue: the caller went away or the deadline passed; false if not in it

    // --- Giving a slot back
    void releaseSlot(PriorityClass, Millis took); // one in flight has ended; 0: it was not used
    std::optional<TicketId> startNext(); // the next from the queue, now counted in flight; call until empty
    void releaseSlot(PriorityClass priority, Millis took, Instant) override { releaseSlot(priority, took); }
    std::optional<TicketId> startNext(Instant) override { return startNext(); }

    Millis meanWork(PriorityClass) const override;
    Millis expectedWait(PriorityClass) const override;

private:
    using QueueKey = std::pair<int64_t, TicketId>; // arrival in ms; the id keeps the order of asking

    struct ClassState {
        std::map<QueueKey, TicketId> waiting;
        double meanMillis = 5; // of work, moving average
        double virtualTime = 0; // time used over share; the class with the least goes next
    };

    ClassState& stateOf(PriorityClass priority) { return m_classes[static_cast<size_t>(priority)]; }
    const ClassPolicy& policyOf(PriorityClass priority) const
    {
        return m_options.classes[static_cast<size_t>(priority)];
    }
    Millis maxWait(PriorityClass) const;
    void alignVirtualTime(ClassState&);

    AdmissionOptions m_options;
    unsigned m_limit = 1;
    unsigned m_inFlight = 0;
    std::array<ClassState, priorityClassCount> m_classes;
    std::map<TicketId, std::pair<PriorityClass, QueueKey>> m_queueKeys;
};

}
