// The queue for one server of a host that knows each route's rank and target.
//
// The load that it answers: more requests than the server can do, for seconds (many users at once, or a hot key). In
// order of arrival everybody becomes late together; then the answers are worth little to all. So:
//
// - What can still be answered within its target goes first, by rank, then by target. What is late anyway goes in
//   the gaps: an answer that comes late is worth something, but not another one's target.
// - A lower rank is never shut out: each `oldestFirstInterval`th slot goes to whoever has waited longest.
// - A request is refused as soon as the work ahead of it shows that the server would not answer before its deadline:
//   when it asks, or when later ones of a higher rank push it back. Its caller can come back in time; held to the end
//   it could not. One that would be late must count on those that come after it and go first.
// - A server that has all its slots taken and has answered nothing for several times its usual work is taken for
//   hanging: what asks for it is refused until it answers again.
#pragma once

#include "decisions/SlotQueue.h"

#include <array>
#include <utility>
#include <vector>

namespace cumindale {

struct DeadlineQueueOptions {
    size_t maxQueueLength = 64; // bounds memory and the time of one choice; never reached while waits are bounded
    Millis initialWork { 100 }; // guess for a class's work until one has ended
    double smoothing = 0.1; // of the newest work in the moving average
    double minWorkFraction = 0.7; // of the mean work must be left before the deadline, or it most likely ends in vain
    unsigned oldestFirstInterval = 4;
    double lateWaitFactor = 1.6; // a late request waits so many times as long as what is ahead of it suggests
    double unresponsiveFactor = 5; // times the mean work without any answer
    Millis minUnresponsiveTime { 600 };
    // A request waits for a permit while its time is longer than this part of the pause between two: permits come at
    // any moment, so that it may well get the next one; later its caller has too little time left to come back.
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
    void releaseSlot(PriorityClass, Millis took, Instant now) override;
    std::optional<TicketId> startNext(Instant now) override;
    Instant nextStart(Instant now) const override;
    Millis meanWork(PriorityClass) const override;
    Millis expectedWait(PriorityClass) const override;
    bool unresponsive(Instant now) const; // all slots taken, and no answer for too long

private:
    Millis requiredTime(const SlotRequest&) const; // time that must be left for its work
    bool meetsTarget(const SlotRequest& request, Instant startTime) const;
    using WaitingList = std::vector<SlotRequest>;
    WaitingList::iterator selectNext(WaitingList&, Instant startTime, unsigned starts) const;
    bool willTimeOut(const SlotRequest&, Instant startTime, Instant now) const;
    void shedPredictedTimeouts(Instant now);
    double overallMeanMillis() const;
    bool canStart(Instant now) const;
    void recordStart(Instant now);
    double startIntervalMillis() const; // between two starts, while all that this host may have there is in use

    DeadlineQueueOptions m_options;
    unsigned m_limit = 1;
    double m_limitFraction = 1; // of one request at once, if the limit is below 1
    Instant m_earliestStart {}; // the next start, then
    std::optional<unsigned> m_permits; // starts that are allowed; nothing: the limit counts
    Millis m_permitInterval { 0 }; // between two permits, about
    unsigned m_inFlight = 0;
    WaitingList m_waiting; // in order of asking
    std::vector<TicketId> m_shed; // no longer waiting, not told yet
    std::array<double, priorityClassCount> m_meanMillis {}; // 0: none ended yet
    Instant m_lastProgress {}; // the last answer, or the start of work after a pause
    unsigned m_startCount = 0;
};

}
