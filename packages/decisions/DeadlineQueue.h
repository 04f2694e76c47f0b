// Queue for one server on a host that knows the rank and the target latency of each route.
//
// Under an overload of some seconds (many users at once, or a hot key), serving requests in order of arrival makes all
// of them miss their target. Therefore:
//
// - Requests that can still meet their target start first, ordered by rank and then by target. Requests that will miss
//   it fill the gaps: a late answer has some value, but must not make another request late.
// - Lower ranks don't starve: each `oldestFirstInterval`th start ignores the rank and takes the oldest request,
//   of those that can meet their target if there are any.
// - A request is refused as soon as the work ahead of it shows that the server can't answer before its deadline: on
//   arrival, or when later requests of a higher rank overtake it. Its caller then has time to retry, which it would not
//   have at the deadline. For a request that will miss its target, the estimate allows for later requests that
//   overtake it.
// - A server that has all its slots taken and has answered nothing for several times its mean work is considered
//   unresponsive: new requests for it are refused until it answers again.
#pragma once

#include "decisions/SlotQueue.h"

#include <array>
#include <functional>
#include <utility>
#include <vector>

namespace cumindale {

struct DeadlineQueueOptions {
    size_t maxQueueLength = 64; // bounds memory and the cost of one selection; not reached while waits are bounded
    // A queue that is longer than this looks for requests that won't be served in time only each `sheddingInterval`,
    // and a queue that is n times as long only each n intervals: the cost of one look grows with the square of the
    // length.
    size_t alwaysShedLength = 64;
    Millis sheddingInterval { 20 };
    // A request counts as one that meets its target if the mean work and so many mean deviations from it are left when
    // it starts. With 0, half of the requests that start last come late.
    double targetDeviations = 0;
    Millis initialWork { 100 }; // assumed work of a class until its first request has ended
    double smoothing = 0.1; // weight of the newest work in the moving average
    // Part of the mean work that must be left before the deadline; with less, the answer most likely comes too late.
    double minWorkFraction = 0.7;
    unsigned oldestFirstInterval = 4;
    // Expected wait of a request that will miss its target, as a multiple of the wait for the requests ahead of it.
    double lateWaitFactor = 1.6;
    double unresponsiveFactor = 5; // multiple of the mean work without any answer
    Millis minUnresponsiveTime { 600 };
    // A request waits for a permit while the time left to start it exceeds this fraction of the interval between two
    // permits: a permit can come at any moment, so the request may well get the next one. With less time left it is
    // refused, so that its caller still has time to retry.
    double permitWaitFraction = 0.4;
};

class DeadlineQueue final : public SlotQueue {
public:
    explicit DeadlineQueue(DeadlineQueueOptions options = {});

    void setLimit(double) override;
    void setPermits(std::optional<unsigned>, Millis interval, Instant now) override;
    unsigned permits() const override { return m_permits.value_or(0); }
    unsigned limit() const override { return m_limit; }
    unsigned inFlight() const override { return m_inFlight; }
    size_t queued() const override { return m_waiting.size(); }

    Verdict requestSlot(const SlotRequest&, Instant now) override;
    std::vector<TicketId> takeShed() override { return std::exchange(m_shed, {}); }
    bool withdraw(TicketId) override;
    Instant latestStart(const SlotRequest&) const override;
    void startGranted(Instant now) override;
    void releaseSlot(PriorityClass, Millis took, Instant now) override;
    std::optional<TicketId> startNext(Instant now) override;
    Instant nextStart(Instant now) const override;
    Millis meanWork(PriorityClass) const override;
    Millis expectedWait(PriorityClass) const override;
    bool unresponsive(Instant now) const; // all slots are taken and no answer came for too long

    void setMaxQueueLength(size_t length) { m_options.maxQueueLength = length; }

    // --- For a caller that knows itself whether a slot is free for a request (SlotBroker). The limit isn't checked.
    Verdict enqueue(const SlotRequest&, Instant now); // Queued or Refused
    // Removes the request that starts next, of those that may start. It isn't counted as in flight yet.
    std::optional<TicketId> takeNext(Instant now, const std::function<bool(const SlotRequest&)>& mayStart);

private:
    Millis requiredTime(const SlotRequest&) const; // time that must be left before the deadline at the start
    Millis usualWork(PriorityClass) const; // that most requests of the class don't exceed
    bool meetsTarget(const SlotRequest& request, Instant startTime) const;
    using WaitingList = std::vector<SlotRequest>;
    WaitingList::iterator selectNext(WaitingList&, Instant startTime, unsigned starts) const;
    bool goesFirst(const SlotRequest&, const SlotRequest&, Instant startTime, bool oldestFirst) const;
    bool willTimeOut(const SlotRequest&, Instant startTime, Instant now) const;
    void shedPredictedTimeouts(Instant now);
    void shedLast(Instant now); // the request that would start last
    double overallMeanMillis() const;
    bool canStart(Instant now) const;
    void recordStart(Instant now);
    double startIntervalMillis() const; // between two starts while this host uses its whole limit

    DeadlineQueueOptions m_options;
    unsigned m_limit = 1;
    double m_limitFraction = 1; // the limit if it is below 1, else 1
    Instant m_earliestStart {}; // of the next request if the limit is below 1
    std::optional<unsigned> m_permits; // starts that are allowed; std::nullopt: the limit applies
    Millis m_permitInterval { 0 }; // approximate time between two permits
    unsigned m_inFlight = 0;
    WaitingList m_waiting; // in order of requestSlot() calls
    std::vector<TicketId> m_shed; // removed from m_waiters, not yet returned by takeShed()
    std::array<double, priorityClassCount> m_meanMillis {}; // 0: no request has ended yet
    std::array<double, priorityClassCount> m_deviationMillis {}; // mean deviation of the work from its mean
    Instant m_lastProgress {}; // the last answer, or the first start after an idle period
    unsigned m_startCount = 0;
    Instant m_shedAt {}; // the last look for requests that won't be served in time
};

}
