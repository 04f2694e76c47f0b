// Requests that crash the servers that run them.
//
// Such a request comes again and again, at any host and from any address; each time a server falls over with everything
// else that runs there. It is told from the others by what it has in common with itself: a fingerprint of the whole
// request. Others may ask for the same and do no harm: one answer clears them all. In one crash everything that ran
// there is suspect. A request that was at three servers when they went away, and that no server answered in between, is
// quarantined: hosts refuse it.
//
// Load pattern: a caller that repeats one such request each second, among thousands of others of which some are at the
// same server; servers that also crash for other reasons, now and then or every few seconds.
//
// - CrashWatch, on each host: what was sent and got no answer counts only once its server is known to have gone.
//   A reset connection, a lost answer or a server that leaves in good order is no crash.
// - CrashLedger, at the coordinator: the sum over all hosts. What it holds is bounded, and lapses.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cumindale {

using Fingerprint = uint64_t; // of a request: method, host, body, and path with or without its query

// The requests that were at a server when it went away.
struct ServerCrash {
    std::string server;
    std::vector<Fingerprint> requests;
};

class HostCrashTracker {
public:
    // --- What this host sees
    void responseLost(std::string_view server, Fingerprint, Instant now); // no answer came, and it may have run
    void serverAlive(std::string_view server); // or left in good order: what was lost there crashed nothing
    // It takes no requests, or another incarnation is there. Returns the requests that were there.
    std::vector<Fingerprint> serverGone(std::string_view server, Instant now);
    void answered(Fingerprint, Instant now); // by a server, whatever the answer

    // --- What the coordinator tells
    // Returns the suspects that a server has answered here lately.
    std::vector<Fingerprint> applyCoordinatorUpdate(
        std::set<Fingerprint> suspects, std::set<Fingerprint> quarantined, Instant now);
    void repeatToNewCoordinator(); // it knows nothing of what its predecessor was told

    // --- What follows
    bool hasSuspects() const { return !m_suspects.empty() || !m_ownSuspects.empty(); }
    bool hasQuarantined() const { return !m_quarantined.empty(); }
    bool isSuspect(Fingerprint) const; // not to be sent a second time
    bool isQuarantined(Fingerprint request) const { return m_quarantined.count(request); }
    bool hasUnreported() const { return !m_unreportedCrashes.empty() || !m_unreportedAnswered.empty(); }
    std::vector<ServerCrash> takeCrashes();
    std::vector<Fingerprint> takeAnswered();
    void dropExpired(Instant now);

private:
    struct LostRequest {
        std::string server;
        Fingerprint request = 0;
        Instant at {};
    };
    struct RecentCrash {
        ServerCrash crash;
        Instant at {};
    };

    bool wasAnswered(Fingerprint, Instant now) const;

    std::deque<LostRequest> m_lostRequests; // oldest first
    // What servers have answered lately. A request that crashes servers is never answered: one that was a moment ago
    // was only there by chance, as the requests for a hot key are whose server crashes every few seconds.
    std::unordered_map<Fingerprint, Instant> m_answeredAt;
    std::deque<std::pair<Fingerprint, Instant>> m_answersInOrder; // the same, oldest first
    std::deque<RecentCrash> m_recentCrashes; // for a new coordinator
    std::vector<ServerCrash> m_unreportedCrashes; // not reported yet
    std::set<Fingerprint> m_unreportedAnswered; // likewise
    std::set<Fingerprint> m_ownSuspects; // suspects of this host's own crashes
    std::set<Fingerprint> m_suspects; // of all hosts
    std::set<Fingerprint> m_quarantined;
};

// What the ledger makes of the reports, for the log. Requests with a single crash are left out.
struct CrashEvent {
    enum class Kind : uint8_t { Suspected, Cleared, Quarantined };
    Kind kind = Kind::Suspected;
    Fingerprint request = 0;
    unsigned crashes = 0;
    std::string server; // that crashed last; empty unless suspected
};

std::string_view toString(CrashEvent::Kind);

struct QuarantinedRequest {
    Fingerprint request = 0;
    unsigned crashes = 0;
    Instant since {};
    Instant until {}; // then one try is allowed: the servers may have been mended
};

class CrashAggregator {
public:
    void setReportInterval(Millis interval) { m_reportInterval = interval; } // of each host

    // --- From reports
    void crashed(const ServerCrash&, Instant now);
    void answered(Fingerprint); // it is innocent, or the servers have been mended
    void release(Fingerprint); // by an operator

    // --- From a predecessor
    void restore(const QuarantinedRequest&);
    void clear();

    // --- What follows
    // That one more crash would bring into quarantine: all hosts look whether a server has answered them. Of the others
    // there may be thousands after a data centre's loss, and telling them would cost more than it helps.
    std::vector<Fingerprint> suspects(Instant now);
    std::vector<QuarantinedRequest> quarantined(Instant now);
    uint64_t edition() const { return m_edition; } // of the quarantine; it grows with each change
    std::vector<CrashEvent> takeEvents(); // since the last call

private:
    struct Suspect {
        std::set<std::string, std::less<>> servers; // that went away with it
        Instant lastCrashAt {}; // crash
        Instant nearQuarantineSince {}; // hosts are told of it
    };

    Millis clearanceDelay() const; // that a suspect was answered; reports of several crashes may come at once
    void dropExpired(Instant now);
    void dropSuspect(Fingerprint); // a suspect
    void quarantineConfirmed(Instant now);
    void attributeCrashes(
        const std::set<std::string, std::less<>>& servers); // a quarantined request was at their crashes
    void addEvent(CrashEvent);

    Millis m_reportInterval { 250 };
    std::map<Fingerprint, Suspect> m_suspects;
    std::set<Fingerprint> m_nearQuarantine; // of these
    Instant m_expiredAt {};
    std::map<Fingerprint, QuarantinedRequest> m_quarantined;
    std::set<std::string, std::less<>> m_attributed; // servers that a quarantined request crashed
    std::deque<std::string> m_attributedInOrder; // the same, oldest first
    uint64_t m_edition = 0;
    std::vector<CrashEvent> m_events;
};

}
