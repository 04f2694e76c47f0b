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
    void advise(const ServerAdvice&, Instant now);
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
    void sayRate(std::optional<PerSecond>, Instant now); // in an answer to this host
    void tellRate(std::optional<PerSecond>, size_t hosts, Instant now); // by the coordinator; 0 hosts: not known
    void repeatRate() { m_rate.repeatToNewCoordinator(); }
    std::optional<PerSecond> rateLimit() const { return m_rate.limit(); }
    std::optional<KnownRateLimit::Observation> rateToReport(Instant now) const { return m_rate.toReport(now); }
    // Without a coordinator this host sends in turns of its own.
    bool awaitsTurn(Instant now) const { return takesTurns(now) && nextTurn(now) > now; }
    // Neither a permit nor a turn is there, because of the limit.
    bool isAtLimit(Instant now) const { return rateLimit() && (takesTurns(now) ? nextTurn(now) > now : !hasPermit()); }
    Instant nextTurn(Instant now) const { return m_sharers ? m_turns.nextSendAt(now) : Instant::max(); }
    void takeTurn(Instant now);

    // --- Health, from real answers only
    void answered() { failures = 0; }
    void failed(Instant now);

    // --- What it said itself, in its answers
    void sayLeaving(Instant now);
    bool saysLeaving() const { return m_saysLeavingSince != Instant {}; }
    Instant saysLeavingSince() const { return m_saysLeavingSince; }
    bool leaving() const { return entry.leaving || saysLeaving(); }
    bool withdrawn() const { return entry.draining() || saysLeaving(); } // it gets nothing new
    bool outOfUse() const { return withdrawn() || ended; } // it gets nothing ever more
    // Another server has the work if any can: it leaves, warms up, rests, or is at its limit.
    bool isUnready(Instant now) const { return outOfUse() || warmingUp(now) || wantsRest(now) || isAtLimit(now); }
    void askForRest(Instant until);
    bool wantsRest(Instant now) const { return now < m_restUntil; } // it gets no request
    Instant restUntil() const { return m_restUntil; }
    bool noticeIsOdd = false; // told in the log once
    std::optional<PerSecond> namedRate; // in the last answer, as told in the log

    // --- Warming up
    bool warmingUp(Instant now) const { return m_warmUp.isSet() && now < warmupEnd(); }
    Instant warmupEnd() const { return std::max(entry.warmupEnd, m_heldOffUntil); }
    const WarmUpLimit& warmUp() const { return m_warmUp; }
    bool hasWarmUpTurn(Instant now) const { return now >= m_nextWarmUpTurn; } // of a host that may send meanwhile
    void takeWarmUpTurn(Instant now) { m_nextWarmUpTurn = now + warmUpPause; }
    // A server that couldn't be connected to and can be again may have started anew, and its entry not have been heard
    // of. It gets nothing until that would be known: hosts that all sent what waits for it would crash it again.
    void connectFailed() { m_connectFailed = true; }
    bool connected(Instant now); // false: it is held off
    bool failing(Instant now) const { return now < failingUntil; } // gets new work only if no other server can

    // --- Use, for reports
    void count(Instant now); // before each change of the numbers at work or waiting
    // Nothing: there is nothing to tell. A crowded server is named once more when nothing is left there: its place is
    // somebody else's then.
    std::optional<ServerUse> takeUse(Instant now, Millis over);
    void countWork(Millis took);
    std::multiset<Instant> overdueFrom; // of each request that is there

    RegisteredServer entry;
    ServerPool pool;
    Instant lookedAt {}; // when a connection was last tried only because another one had been lost
    bool ended = false; // another server answers at its address: it is gone, whatever its entry says
    Instant leavingSince {}; // when this host learned that it leaves
    Instant evacuatedSince {}; // when this host learned of its data centre's evacuation
    unsigned failures = 0; // in a row
    Instant failingUntil {};
    // It refused a key that the table says is its: its hold may have run out. What asks for its keys meanwhile would
    // only be refused there, too.
    Instant holdsNothingUntil {};

private:
    bool takesTurns(Instant now) const { return rateLimit() && m_rate.coordinatorSilent(now); }
    void applyRate(Instant now);
    void setPermits(std::optional<unsigned>);

    Instant m_saysLeavingSince {};
    Instant m_restUntil {};
    WarmUpLimit m_warmUp;
    Instant m_nextWarmUpTurn {};
    bool m_connectFailed = false; // the last time
    Instant m_heldOffUntil {};
    ServerLimit m_limit;
    bool m_hasPermits = false; // requests start by permits, if only by none
    Millis m_permitPause { 0 };
    Instant m_permitsUntil {};
    Instant m_mayAskFrom {}; // for a permit, whatever the pause between two
    KnownRateLimit m_rate;
    LocalRateLimiter m_turns;
    size_t m_sharers = 0; // hosts; 0: not known
    bool m_told = false; // in the last report
    Instant m_countedAt {};
    double m_busyMillis = 0; // requests there x time
    double m_waitingMillis = 0;
    int64_t m_workMillis = 0;
    int64_t m_workCount = 0;
};

}
