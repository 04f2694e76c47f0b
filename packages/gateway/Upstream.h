// State that a host's router keeps for one registered backend server.
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
    Upstream(boost::asio::any_io_executor, const Clock&, const RegisteredServer&, const RoutedService*,
        std::shared_ptr<ResponseMemory>);

    void update(const RegisteredServer&, const RoutedService*, size_t hosts, Instant now);

    // --- Limits from the coordinator
    void applyAdvice(const ServerAdvice&, Instant now);
    void clearShare(Instant now); // call when the answer to a report omits the server
    void setCrowded(Instant now);
    bool crowded(Instant now) const { return m_limit.crowded(now); }
    // Whether requests need the coordinator's permit: the server is crowded, or has announced a rate limit.
    bool needsPermit(Instant now) const { return crowded(now) || (rateLimit() && !m_rate.coordinatorSilent(now)); }
    bool hasPermit() const { return m_hasPermits && pool.admission().permits() > pool.admission().queued(); }
    void applyLimit(Instant now); // also drops limits and permits that have expired
    // Call after each report. The report states what is at a crowded server, so nothing else may start there until the
    // report is answered.
    void dropPermits(Instant now);
    Instant nextPermit(Instant now) const; // estimate

    // --- Rate limit: requests a second that the server accepts from all hosts together. No value: no limit announced.
    void setLimitFromServer(std::optional<PerSecond>, Instant now); // from a response to this host
    void setLimitFromCoordinator(std::optional<PerSecond>, size_t hosts, Instant now); // `hosts`: 0 if not known
    void repeatLimitReport() { m_rate.repeatToNewCoordinator(); }
    std::optional<PerSecond> rateLimit() const { return m_rate.limit(); }
    std::optional<KnownRateLimit::Observation> limitToReport(Instant now) const { return m_rate.toReport(now); }
    // Without a coordinator this host limits its own rate: no request may be sent yet.
    bool isLocallyLimited(Instant now) const { return usesLocalLimiter(now) && nextLocalSend(now) > now; }
    // Because of the rate limit no request may be sent now, with or without a coordinator.
    bool isAtLimit(Instant now) const
    {
        return rateLimit() && (usesLocalLimiter(now) ? nextLocalSend(now) > now : !hasPermit());
    }
    Instant nextLocalSend(Instant now) const
    {
        return m_sharingHosts ? m_localLimiter.nextSendAt(now) : Instant::max();
    }
    void recordLocalSend(Instant now);

    // --- Health, from responses to requests only
    void recordSuccess() { failures = 0; }
    void recordFailure(Instant now);
    void forgetFailures(); // they were this host's own

    // --- Announced by the server in response headers
    void setAnnouncedLeaving(Instant now);
    bool announcedLeaving() const { return m_announcedLeavingSince != Instant {}; }
    Instant announcedLeavingSince() const { return m_announcedLeavingSince; }
    bool leaving() const { return entry.leaving || announcedLeaving(); }
    bool draining() const { return entry.draining() || announcedLeaving(); } // gets no new work
    bool outOfUse() const { return draining() || replaced; } // gets no request any more
    // Gets work only if no other server can do it: the server is leaving, warming up, backing off or at its limit.
    bool isUnready(Instant now) const { return outOfUse() || warmingUp(now) || backingOff(now) || isAtLimit(now); }
    void backOffUntil(Instant until);
    bool backingOff(Instant now) const { return now < m_backoffEnd; } // the server has asked for no requests
    Instant backoffEnd() const { return m_backoffEnd; }
    bool malformedNoticeLogged = false; // such a notice is logged once
    std::optional<PerSecond> loggedLimit; // rate limit in the last response, as logged

    // --- Warming up
    bool warmingUp(Instant now) const { return m_warmUp.isSet() && now < warmupEnd(); }
    Instant warmupEnd() const { return std::max(entry.warmupEnd, m_reconnectHoldUntil); }
    const WarmUpLimit& warmUp() const { return m_warmUp; }
    bool warmUpPauseOver(Instant now) const { return now >= m_nextWarmUpSend; } // the pause between requests is over
    void recordWarmUpSend(Instant now) { m_nextWarmUpSend = now + warmUpPause; }
    // A server that accepts connections again after a failure may have restarted, and its new entry may not have
    // arrived yet. It gets no requests until the entry must have arrived: hosts that all sent their waiting requests at
    // once would crash the server again.
    void connectFailed() { m_connectFailed = true; }
    bool recordConnected(Instant now); // false: send nothing yet
    bool failing(Instant now) const { return now < failingUntil; } // gets new work only if no other server can do it

    // --- Usage, for reports
    void accumulateUse(Instant now); // call before each change of the requests in flight or waiting
    // Usage since the last call, `period` ago; no value if there is nothing to report. A server that needs permits is
    // reported once more when this host has nothing left there, so that others get the permits.
    std::optional<ServerUse> takeUse(Instant now, Millis period);
    void recordWork(Millis took);
    std::multiset<Instant> overdueTimes; // when each request at the server becomes overdue

    RegisteredServer entry;
    ServerPool pool;
    Instant reachabilityCheckedAt {}; // last check after a lost connection
    bool replaced = false; // another server answers at its address, so this one is gone whatever its entry says
    unsigned failures = 0; // consecutive
    bool acceptsConnections = true; // the last new connection was opened, or none was tried
    Instant failingUntil {};
    Instant lastUsed {}; // when a request was last sent to the server
    // Set when the server refused a key that the table assigns to it, as its hold may have expired. Until then it would
    // refuse other requests for its keys as well.
    Instant refusesKeysUntil {};

private:
    bool usesLocalLimiter(Instant now) const { return rateLimit() && m_rate.coordinatorSilent(now); }
    void applyRate(Instant now);
    void setPermits(std::optional<unsigned>);

    Instant m_announcedLeavingSince {};
    Instant m_backoffEnd {};
    WarmUpLimit m_warmUp;
    Instant m_nextWarmUpSend {};
    bool m_connectFailed = false; // the last connection attempt failed
    Instant m_reconnectHoldUntil {};
    ServerLimit m_limit;
    bool m_hasPermits = false; // requests start by permits only, of which there may be none
    Millis m_permitInterval { 0 };
    Instant m_permitsUntil {};
    Instant m_askPermitFrom {}; // then a request may wait for a permit despite m_permitInterval
    KnownRateLimit m_rate;
    LocalRateLimiter m_localLimiter;
    size_t m_sharingHosts = 0; // number of hosts that share the server; 0: not known
    bool m_inLastReport = false; // the last report named the server as in use
    Instant m_countedAt {};
    double m_busyMillis = 0; // requests in flight x time
    double m_waitingMillis = 0; // requests waiting x time
    int64_t m_workMillis = 0;
    int64_t m_workCount = 0;
};

}
