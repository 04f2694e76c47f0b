// Admission control for one backend server on one host: a concurrency limit and a bounded queue with weighted fair
// queueing between priority classes.
//
// A class with waiting requests has a share of the server's time; shares of classes without waiting requests go to the
// others. This keeps lookups and claims fast under overload, while archive reads progress by their share for as long
// as the overload lasts. Within a class the oldest request starts first. (Reserved shares with borrowing: "Sharing One
// Provider Quota Across Many Customers"; start-time fair queueing: Goyal, Vin, Cheng 1996. docs/DESIGN.md gives the
// figure behind this choice.)
//
// A request is refused immediately, with the time after which to retry, if the queue is full, if the expected wait
// exceeds the longest wait of its class, or if its deadline can't be met.
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

// Scheduling of one class of requests.
struct ClassPolicy {
    double share = 1; // weight of the class among the classes with waiting requests
    Millis maxWait { 0 }; // raised to a multiple of the class's mean work if that is longer
};

struct AdmissionOptions {
    size_t maxQueueLength = 256; // over all classes
    // Under overload a short queue serves the requests that it accepts in time and refuses the others at once with a
    // retry time; a long queue delays all requests. Archive reads may wait until their deadline.
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

    // --- Requesting a slot
    Verdict requestSlot(const SlotRequest& request, Instant now) override
    {
        return requestSlot(request.ticket, request.priority, request.arrived, now, request.deadline);
    }
    Instant latestStart(const SlotRequest& request) const override { return request.deadline; }
    // `arrived` orders the requests of a class.
    Verdict requestSlot(TicketId, PriorityClass, Instant arrived, Instant now, Instant deadline);
    // Removes a request whose caller disconnected or whose deadline passed; false if it isn't queued.
    bool withdraw(TicketId) override;

    void startGranted(Instant) override { ++m_inFlight; }

    // --- Releasing a slot
    void releaseSlot(PriorityClass, Millis took); // a request in flight has ended; 0: the slot was not used
    std::optional<TicketId> startNext(); // see SlotQueue::startNext()
    void releaseSlot(PriorityClass priority, Millis took, Instant) override { releaseSlot(priority, took); }
    std::optional<TicketId> startNext(Instant) override { return startNext(); }

    Millis meanWork(PriorityClass) const override;
    Millis expectedWait(PriorityClass) const override;

private:
    using QueueKey = std::pair<int64_t, TicketId>; // arrival in ms; the ticket orders requests of the same ms

    struct ClassState {
        std::map<QueueKey, TicketId> waiting;
        double meanMillis = 5; // moving average of the work
        double virtualTime = 0; // time used divided by the share; the lowest goes next
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
