// Detects requests that crash the servers that run them, and quarantines them.
//
// The caller of such a request repeats it, through any host and from any address, and each server that runs it crashes
// together with everything else that runs there. Repetitions are recognised by a fingerprint of the whole request.
// Requests with the same fingerprint may do no harm: a single answer from a server clears the fingerprint. After a
// crash, every request that was at the server is suspect. A request that was at three servers when they went away, and
// that no server answered in between, is quarantined: hosts refuse it.
//
// Load pattern: a caller that repeats one such request each second, among thousands of other requests of which some are
// at the same server; servers that also crash for other reasons, now and then or every few seconds.
//
// - HostCrashTracker, on each host: a request that was sent and not answered counts only once its server is known to
//   have gone. A reset connection, a lost answer or an orderly shutdown is not a crash.
// - CrashAggregator, at the coordinator: combines the reports of all hosts. Its state is bounded and expires.
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

using Fingerprint = uint64_t; // hash of a request's method, host, body, and path with or without the query

// The requests that were at a server when it went away.
struct ServerCrash {
    std::string server;
    std::vector<Fingerprint> requests;
};

class HostCrashTracker {
public:
    // --- Events on this host
    void responseLost(std::string_view server, Fingerprint, Instant now); // not answered, and may have run
    void serverAlive(std::string_view server); // or shut down in order: drops its unanswered requests
    void forgetLostRequests() { m_lostRequests.clear(); } // the host itself had lost its path to the servers
    // The server refuses connections, or another incarnation runs there. Returns the requests that were at the server.
    std::vector<Fingerprint> serverGone(std::string_view server, Instant now);
    void answered(Fingerprint, Instant now); // by a server, with any status

    // --- Updates from the coordinator
    // Returns the suspects that a server has answered recently on this host.
    std::vector<Fingerprint> applyCoordinatorUpdate(
        std::set<Fingerprint> suspects, std::set<Fingerprint> quarantined, Instant now);
    void repeatToNewCoordinator(); // a new coordinator has none of the reports that its predecessor received

    // --- Queries and reports
    bool hasSuspects() const { return !m_suspects.empty() || !m_ownSuspects.empty(); }
    bool hasQuarantined() const { return !m_quarantined.empty(); }
    bool isSuspect(Fingerprint) const; // must not be retried
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
    // Times of recent answers. A request that crashes servers is never answered, so a request that was answered a
    // moment ago was at the crashed server by chance. An example are requests for a hot key whose server crashes every
    // few seconds.
    std::unordered_map<Fingerprint, Instant> m_answeredAt;
    std::deque<std::pair<Fingerprint, Instant>> m_answersInOrder; // the entries of m_answeredAt, oldest first
    std::deque<RecentCrash> m_recentCrashes; // kept to be reported to a new coordinator
    std::vector<ServerCrash> m_unreportedCrashes;
    std::set<Fingerprint> m_unreportedAnswered;
    std::set<Fingerprint> m_ownSuspects; // from crashes that this host saw
    std::set<Fingerprint> m_suspects; // from the coordinator
    std::set<Fingerprint> m_quarantined; // from the coordinator
};

// A change of a request's state, for the log. Requests with a single crash are left out.
struct CrashEvent {
    enum class Kind : uint8_t { Suspected, Cleared, Quarantined };
    Kind kind = Kind::Suspected;
    Fingerprint request = 0;
    unsigned crashes = 0;
    std::string server; // the last one that crashed; empty unless suspected
};

std::string_view toString(CrashEvent::Kind);

struct QuarantinedRequest {
    Fingerprint request = 0;
    unsigned crashes = 0;
    Instant since {};
    Instant until {}; // then one attempt is allowed, as the servers may have been fixed
};

class CrashAggregator {
public:
    void setReportInterval(Millis interval) { m_reportInterval = interval; } // between reports of one host

    // --- From reports
    void crashed(const ServerCrash&, Instant now);
    void answered(Fingerprint); // the request is harmless, or the servers have been fixed
    void release(Fingerprint); // by an operator

    // --- From a predecessor
    void restore(const QuarantinedRequest&);
    void clear();

    // --- Results
    // Requests that need one more crash to be quarantined, or that have enough: all hosts check whether a server has
    // answered them. Requests with fewer crashes are not sent to hosts: after the loss of a data centre there may be
    // thousands of them, which would cost more than it helps.
    std::vector<Fingerprint> suspects(Instant now);
    std::vector<QuarantinedRequest> quarantined(Instant now);
    uint64_t edition() const { return m_edition; } // version of the quarantine; grows with each change
    std::vector<CrashEvent> takeEvents(); // since the last call

private:
    struct Suspect {
        std::set<std::string, std::less<>> servers; // that went away while the request was there
        Instant lastCrashAt {};
        Instant nearQuarantineSince {}; // when hosts were first told of the request
    };

    // How long hosts get to report that a suspect was answered. Reports of several crashes may arrive at once.
    Millis clearanceDelay() const;
    void dropExpired(Instant now);
    void dropSuspect(Fingerprint);
    void quarantineConfirmed(Instant now);
    // Attributes the crashes of `servers` to a quarantined request, so that they count against no other request.
    void attributeCrashes(const std::set<std::string, std::less<>>& servers);
    void addEvent(CrashEvent);

    Millis m_reportInterval { 250 };
    std::map<Fingerprint, Suspect> m_suspects;
    std::set<Fingerprint> m_nearQuarantine; // the part of m_suspects that hosts are told of
    Instant m_expiredAt {}; // last run of dropExpired()
    std::map<Fingerprint, QuarantinedRequest> m_quarantined;
    std::set<std::string, std::less<>> m_attributed; // servers whose crash is attributed to a quarantined request
    std::deque<std::string> m_attributedInOrder; // the entries of m_attributed, oldest first
    uint64_t m_edition = 0;
    std::vector<CrashEvent> m_events;
};

}
