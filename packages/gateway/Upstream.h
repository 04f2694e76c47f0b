// What the routing duty keeps for one registered server.
#pragma once

#include "backends/ServerPool.h"
#include "decisions/RateLimit.h"
#include "decisions/RouteRules.h"
#include "decisions/ServerLimit.h"
#include "gateway/Messages.h"

#include <algorithm>
#include <optional>
#include <set>

namespace cumindale {

struct Upstream {
    Upstream(boost::asio::any_io_executor, const Clock&, const RegisteredServer&, const RoutedService*);

    void update(const RegisteredServer&, const RoutedService*, size_t hosts, Instant now);

    // --- Limits, told by the coordinator
    void applyAdvice(const ServerAdvice&, Instant now);
    void clearShare(Instant now); // the answer to a report leaves it out
    void setCrowded(Instant now);
    bool crowded(Instant now) const { return m_limit.crowded(now); }
    // Nothing goes there without the coordinator's permit: it is crowded, or has named a limit.
    bool needsPermit(Instant now) const { return crowded(now) || (rateLimit() && !m_rate.coordinatorSilent(now)); }
    bool hasPermit() const { return m_hasPermits && pool.admission().permits() > pool.admission().queued(); }
    void applyLimit(Instant now); // what was told may have lapsed
    // A report says what is at a crowded server: nothing else starts until it is answered.
    void dropPermits(Instant now);
    Instant nextPermit(Instant now) const; // about

    // --- The requests a second that it takes from all hosts together. Nothing: it names no limit.
    void setLimitFromServer(std::optional<PerSecond>, Instant now); // in an answer to this host
    void setLimitFromCoordinator(
        std::optional<PerSecond>, size_t hosts, Instant now); // by the coordinator; 0 hosts: not known
    void repeatLimitReport() { m_rate.repeatToNewCoordinator(); }
    std::optional<PerSecond> rateLimit() const { return m_rate.limit(); }
    std::optional<KnownRateLimit::Observation> limitToReport(Instant now) const { return m_rate.toReport(now); }
    // Without a coordinator this host sends in turns of its own.
    bool isLocallyLimited(Instant now) const { return usesLocalLimiter(now) && nextLocalSend(now) > now; }
    // Neither a permit nor a turn is there, because of the limit.
    bool isAtLimit(Instant now) const
    {
        return rateLimit() && (usesLocalLimiter(now) ? nextLocalSend(now) > now : !hasPermit());
    }
    Instant nextLocalSend(Instant now) const
    {
        return m_sharingHosts ? m_localLimiter.nextSendAt(now) : Instant::max();
    }
    void recordLocalSend(Instant now);

    // --- Health, from real answers only
    void recordSuccess() { failures = 0; }
    void recordFailure(Instant now);

    // --- What it said itself, in its answers
    void setAnnouncedLeaving(Instant now);
    bool announcedLeaving() const { return m_announcedLeavingSince != Instant {}; }
    Instant announcedLeavingSince() const { return m_announcedLeavingSince; }
    bool leaving() const { return entry.leaving || announcedLeaving(); }
    bool draining() const { return entry.draining() || announcedLeaving(); } // it gets nothing new
    bool outOfUse() const { return draining() || replaced; } // it gets nothing ever more
    // Another server has the work if any can: it leaves, warms up, rests, or is at its limit.
    bool isUnready(Instant now) const { return outOfUse() || warmingUp(now) || backingOff(now) || isAtLimit(now); }
    void backOffUntil(Instant until);
    bool backingOff(Instant now) const { return now < m_backoffEnd; } // it gets no request
    Instant backoffEnd() const { return m_backoffEnd; }
    bool malformedNoticeLogged = false; // told in the log once
    std::optional<PerSecond> loggedLimit; // in the last answer, as told in the log

    // --- Warming up
    bool warmingUp(Instant now) const { return m_warmUp.isSet() && now < warmupEnd(); }
    Instant warmupEnd() const { return std::max(entry.warmupEnd, m_reconnectHoldUntil); }
    const WarmUpLimit& warmUp() const { return m_warmUp; }
    bool warmUpPauseOver(Instant now) const { return now >= m_nextWarmUpSend; } // of a host that may send meanwhile
    void recordWarmUpSend(Instant now) { m_nextWarmUpSend = now + warmUpPause; }
    // A server that couldn't be connected to and can be again may have started anew, and its entry not have been heard
    // of. It gets nothing until that would be known: hosts that all sent what waits for it would crash it again.
    void connectFailed() { m_connectFailed = true; }
    bool recordConnected(Instant now); // false: it is held off
    bool failing(Instant now) const { return now < failingUntil; } // gets new work only if no other server can

    // --- Use, for reports
    void accumulateUse(Instant now); // before each change of the numbers at work or waiting
    // Nothing: there is nothing to tell. A crowded server is named once more when nothing is left there: its place is
    // somebody else's then.
    std::optional<ServerUse> takeUse(Instant now, Millis period);
    void recordWork(Millis took);
    std::multiset<Instant> overdueTimes; // of each request that is there

    RegisteredServer entry;
    ServerPool pool;
    Instant reachabilityCheckedAt {}; // when a connection was last tried only because another one had been lost
    bool replaced = false; // another server answers at its address: it is gone, whatever its entry says
    Instant leavingSince {}; // when this host learned that it leaves
    Instant evacuatedSince {}; // when this host learned of its data centre's evacuation
    unsigned failures = 0; // in a row
    Instant failingUntil {};
    // It refused a key that the table says is its: its hold may have run out. What asks for its keys meanwhile would
    // only be refused there, too.
    Instant refusesKeysUntil {};

private:
    bool usesLocalLimiter(Instant now) const { return rateLimit() && m_rate.coordinatorSilent(now); }
    void applyRate(Instant now);
    void setPermits(std::optional<unsigned>);

    Instant m_announcedLeavingSince {};
    Instant m_backoffEnd {};
    WarmUpLimit m_warmUp;
    Instant m_nextWarmUpSend {};
    bool m_connectFailed = false; // the last time
    Instant m_reconnectHoldUntil {};
    ServerLimit m_limit;
    bool m_hasPermits = false; // requests start by permits, if only by none
    Millis m_permitInterval { 0 };
    Instant m_permitsUntil {};
    Instant m_askPermitFrom {}; // for a permit, whatever the pause between two
    KnownRateLimit m_rate;
    LocalRateLimiter m_localLimiter;
    size_t m_sharingHosts = 0; // hosts; 0: not known
    bool m_inLastReport = false; // in the last report
    Instant m_countedAt {};
    double m_busyMillis = 0; // requests there x time
    double m_waitingMillis = 0;
    int64_t m_workMillis = 0;
    int64_t m_workCount = 0;
};

}
