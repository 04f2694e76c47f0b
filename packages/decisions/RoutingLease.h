// The routing lease: until when this host may dispatch by the versions it has.
//
// A host may dispatch by version V of a table while a majority of the roster, itself included, answered within
// the last `lease` that they know no newer version of the table or of the roster; or while the store itself
// answered so. Times are those at which this host *asked*. The lease holds only freshness: it keeps no log and
// no votes, and losing it costs nothing but a question.
//
// Why one owner follows: let a commit that stops a slice be acknowledged by a majority at time A. A host that
// dispatches by the older version at time u holds answers, asked after u - lease, of a majority that knew
// nothing newer. The two majorities share a member, which answered before it acknowledged: u - lease < A. So
// after A + lease nobody dispatches by the older version, however long any host was stopped in between.
//
// Guard against restarts: a host that lost its memory could answer "I know nothing newer" although its former
// incarnation acknowledged a stop. Until it has read the store, or heard a majority that does not count
// itself, it neither routes nor counts in anyone's majority (countsInMajorities() is false).
#pragma once

#include "base/Time.h"
#include "decisions/Roster.h"

#include <map>
#include <string>
#include <string_view>

namespace cumindale {

// Versions that somebody knows: of the roster, and of each service's table.
struct KnownVersions {
    uint64_t roster = 0;
    std::map<std::string, uint64_t, std::less<>> tables;

    bool operator==(const KnownVersions&) const = default;
    uint64_t ofTable(std::string_view service) const;
};

struct RoutingLeaseOptions {
    Millis lease { 600 }; // how long an answer counts, from when it was asked for
};

class RoutingLease {
public:
    RoutingLease(std::string self, RoutingLeaseOptions);

    // --- What this host holds
    void updateRoster(const Roster&); // lower versions are ignored
    void updateTableVersion(std::string_view service, uint64_t version); // lower versions are ignored
    const KnownVersions& known() const { return m_known; }
    const Roster& roster() const { return m_roster; }

    // --- What others said
    void recordPeerAnswer(std::string_view peer, Instant askedAt, const KnownVersions& theirs, bool peerCounts);
    void recordStoreAnswer(Instant askedAt, const KnownVersions& inStore);

    // --- Decisions
    bool countsInMajorities() const { return m_countsInMajorities; } // whether others may count this host's answers
    bool mayRoute() const; // counts, and is a member of the roster
    Instant validUntil(std::string_view service, Instant now) const; // for the held versions; may lie in the past

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
    std::map<std::string, Answer, std::less<>> m_answers; // newest of each peer
    Answer m_storeAnswer;
    bool m_storeHasAnswered = false;
    bool m_countsInMajorities = false;
};

}
