// The routing lease: how long this host may dispatch by the table and roster versions that it holds.
//
// A host may dispatch by version V of a table while a majority of the roster (this host included) has answered within
// the last `lease` that it knows no newer version of the table or of the roster, or while the store has answered within
// the last `lease` with the same versions. The age of an answer counts from the time at which this host sent the
// request. The lease has no log and no votes; a host that loses it only has to ask again.
//
// Why a slice has only one owner: let a majority have acknowledged the commit that stops a slice by time A. A host that
// dispatches by the older version at time u holds answers to requests sent after u - lease, from a majority that knew
// of no newer version. The two majorities share a member, which answered before it acknowledged the commit, so
// u - lease < A. After A + lease no host dispatches by the older version, however long any host was paused.
//
// Restarts: a host that lost its state could answer that it knows of no newer version, although its previous
// incarnation acknowledged a stop. Until the host has read the store, or has answers from a majority made up of other
// hosts alone, it doesn't route, and no host counts it towards a majority (countsInMajorities() is false).
#pragma once

#include "base/Time.h"
#include "decisions/Roster.h"

#include <map>
#include <string>
#include <string_view>

namespace cumindale {

// The newest versions known to a host or the store: of the roster, and of each service's table.
struct KnownVersions {
    uint64_t roster = 0;
    std::map<std::string, uint64_t, std::less<>> tables;

    bool operator==(const KnownVersions&) const = default;
    uint64_t ofTable(std::string_view service) const;
};

struct RoutingLeaseOptions {
    Millis lease { 600 }; // validity of an answer, from the time at which its request was sent
};

class RoutingLease {
public:
    RoutingLease(std::string self, RoutingLeaseOptions);

    // --- Versions held by this host
    void updateRoster(const Roster&); // lower versions are ignored
    void updateTableVersion(std::string_view service, uint64_t version); // lower versions are ignored
    const KnownVersions& known() const { return m_known; }
    const Roster& roster() const { return m_roster; }

    // --- Answers of peers and of the store
    void recordPeerAnswer(std::string_view peer, Instant askedAt, const KnownVersions& theirs, bool peerCounts);
    void recordStoreAnswer(Instant askedAt, const KnownVersions& inStore);

    // --- Decisions
    bool countsInMajorities() const { return m_countsInMajorities; } // whether others may count this host's answers
    bool mayRoute() const; // this host counts in majorities and is a member of the roster
    Instant validUntil(std::string_view service, Instant now) const; // for the held versions; may be in the past

private:
    struct Answer {
        Instant askedAt;
        KnownVersions versions;
        bool counts = false;
    };

    bool knowsNothingNewer(const KnownVersions&, std::string_view service) const;
    void updateCountsInMajorities();

    std::string m_self;
    RoutingLeaseOptions m_options;
    Roster m_roster;
    KnownVersions m_known;
    std::map<std::string, Answer, std::less<>> m_answers; // newest answer of each peer
    Answer m_storeAnswer;
    bool m_storeHasAnswered = false;
    bool m_countsInMajorities = false;
};

}
