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

class CrashWatch {
public:
    // --- What this host sees
    void sendLost(std::string_view server, Fingerprint, Instant now); // no answer came, and it may have run
    void serverLives(std::string_view server); // or left in good order: what was lost there crashed nothing
    // It takes no requests, or another incarnation is there. Returns the requests that were there.
    std::vector<Fingerprint> serverGone(std::string_view server, Instant now);
    void answered(Fingerprint, Instant now); // by a server, whatever the answer

    // --- What the coordinator tells
    // Returns the suspects that a server has answered here lately.
    std::vector<Fingerprint> told(std::set<Fingerprint> suspects, std::set<Fingerprint> quarantined, Instant now);
    void repeatToNewCoordinator(); // it knows nothing of what its predecessor was told

    // --- What follows
    bool suspectsAny() const { return !m_suspects.empty() || !m_own.empty(); }
    bool quarantinesAny() const { return !m_quarantined.empty(); }
    bool suspect(Fingerprint) const; // not to be sent a second time
    bool quarantined(Fingerprint request) const { return m_quarantined.count(request); }
    bool hasNews() const { return !m_crashes.empty() || !m_answered.empty(); }
    std::vector<ServerCrash> takeCrashes();
    std::vector<Fingerprint> takeAnswered();
    void forgetOld(Instant now);

private:
    struct LostSend {
        std::string server;
        Fingerprint request = 0;
        Instant at {};
    };
    struct OwnCrash {
        ServerCrash crash;
        Instant at {};
    };

    bool wasAnswered(Fingerprint, Instant now) const;

    std::deque<LostSend> m_lost; // oldest first
    // What servers have answered lately. A request that crashes servers is never answered: one that was a moment ago
    // was only there by chance, as the requests for a hot key are whose server crashes every few seconds.
    std::unordered_map<Fingerprint, Instant> m_answeredAt;
    std::deque<std::pair<Fingerprint, Instant>> m_answers; // the same, oldest first
    std::deque<OwnCrash> m_reported; // for a new coordinator
    std::vector<ServerCrash> m_crashes; // not reported yet
    std::set<Fingerprint> m_answered; // likewise
    std::set<Fingerprint> m_own; // suspects of this host's own crashes
    std::set<Fingerprint> m_suspects; // of all hosts
    std::set<Fingerprint> m_quarantined;
};

// What the ledger makes of the reports, for the log. Requests with a single crash are left out.
struct CrashEvent {
    enum class What : uint8_t { Suspected, Cleared, Quarantined };
    What what = What::Suspected;
    Fingerprint request = 0;
    unsigned crashes = 0;
    std::string server; // that crashed last; empty unless suspected
};

std::string_view toString(CrashEvent::What);

struct QuarantinedRequest {
    Fingerprint request = 0;
    unsigned crashes = 0;
    Instant since {};
    Instant until {}; // then one try is allowed: the servers may have been mended
};

class CrashLedger {
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
        Instant last {}; // crash
        Instant nearSince {}; // hosts are told of it
    };

    Millis hostsAnswerWithin() const; // that a suspect was answered; reports of several crashes may come at once
    void forgetOld(Instant now);
    void forget(Fingerprint); // a suspect
    void quarantineProven(Instant now);
    void explain(const std::set<std::string, std::less<>>& servers); // a quarantined request was at their crashes
    void note(CrashEvent);

    Millis m_reportInterval { 250 };
    std::map<Fingerprint, Suspect> m_suspects;
    std::set<Fingerprint> m_nearQuarantine; // of these
    Instant m_forgotAt {};
    std::map<Fingerprint, QuarantinedRequest> m_quarantined;
    std::set<std::string, std::less<>> m_explained; // servers that a quarantined request crashed
    std::deque<std::string> m_explainedInOrder; // the same, oldest first
    uint64_t m_edition = 0;
    std::vector<CrashEvent> m_events;
};

}
