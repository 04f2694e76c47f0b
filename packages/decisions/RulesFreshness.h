// How far this host's operators' document can be trusted to be the newest one.
//
// Load pattern: documents change while the coordinator is replaced, news is lost, and the store is slow or refuses some
// hosts. A host that misses a document goes on with the one before it. A request that matches a route of an older
// document is served as before, but "there is no such route" and "the request is too large" are final for the caller,
// who doesn't retry, and a newer document may say otherwise. So they are given only while the store is known to have
// held no other document within the time that operators allow for a document to be in force.
#pragma once

#include "base/Time.h"
#include "decisions/FleetTiming.h"

#include <algorithm>
#include <cstdint>

namespace cumindale {

// For how long final answers may rest on the document, as the routing thread needs it.
struct RulesValidity {
    int64_t revision = 0; // of the document
    Instant confirmedAt {}; // the document was the newest one at this time; default: never confirmed
    Instant until {}; // final answers may rest on it until then; default: not at all

    // For rules made of the document of this revision.
    bool holds(int64_t rulesRevision, Instant now) const { return rulesRevision == revision && now < until; }
    bool operator==(const RulesValidity&) const = default;
};

// How often the document must be confirmed, so that no host's confirmation expires between two reports to a
// coordinator. Otherwise each host asks the store itself several times a second, and waits there for the next document:
// a large one is then read by all hosts at once, and the store has no room left for the coordinator.
struct ConfirmationTiming {
    Millis reportInterval { 0 }; // between two reports of a host
    Millis watchDuration { 0 }; // of a watch of the store by the coordinator
    Millis oldest { 0 }; // age of a host's confirmation when the next report has been answered
    // How long a host that has heard of a newer document may wait for it, so that it can still be read from the store.
    Millis documentWait { 0 };
};

// Length of one watch of the store. A pending watch may stop receiving changes without being closed, while a new one
// receives them. It is therefore renewed this often, well within the time in which a configuration must be in force.
constexpr Millis maxWatchDuration { 900 };

// `reportInterval`: the longest one that other duties allow.
ConfirmationTiming confirmationTiming(Millis rulesDeadline, Millis reportInterval);

class RulesFreshness {
public:
    // `deadline`: time from the store's acknowledgement of a document until it must be in force on all hosts.
    explicit RulesFreshness(Millis deadline);

    // This host has received the document of this revision. `accepted`: it is the one that this host decides by.
    void received(int64_t revision, bool accepted);
    void announced(int64_t revision); // the store holds a document of this revision or a newer one
    // The store's newest document had this revision at `asOf` (0: it held none), and no newer one was written up to the
    // store's revision `storeRevision`: seen by this host or a coordinator as part of all changes of the store.
    void confirmed(int64_t revision, Instant asOf, int64_t storeRevision);
    // The same, seen by a check of the document alone.
    void checked(int64_t revision, Instant asOf, int64_t storeRevision);

    int64_t revision() const { return m_revision; } // of the last document received; 0: none
    int64_t newestRevision() const { return m_newestRevision; } // known to be in the store; 0: none
    Instant confirmedAt() const { return m_confirmedAt; } // of the last confirmation; default: none
    // No document that this host lacks was written up to this revision of the store.
    int64_t knownUpTo() const { return std::max(m_revision, m_knownUpTo); }
    bool outdated() const { return m_revision < m_newestRevision; } // the store holds a newer document
    RulesValidity validity() const;
    Millis watchDuration() const; // of a check that waits for a change, so that the next one comes in time
    void setReportInterval(Millis); // to a coordinator, the longest one that other duties allow
    // While nothing confirms the document with other changes, this host must check it from then on. `phase`: from 0 to
    // 1, random for each host. A coordinator that can't confirm the document any more leaves all hosts with a
    // confirmation of the same time, and their checks must not reach the store at once.
    Instant nextCheck(double phase = 0) const;
    // The same for a host that finds now that no coordinator confirms the document.
    Instant checkAfterLoss(Instant now, double phase) const;

private:
    Millis latestCheck() const; // after the last confirmation, so that it is answered in time
    Millis firstCheck() const; // after the last confirmation, so that the coordinator confirms the document before it

    Millis m_deadline;
    Millis m_maxAge;
    Millis m_usualAge { 0 }; // of the last confirmation, when a coordinator's next answer renews it
    int64_t m_revision = 0;
    bool m_accepted = false;
    int64_t m_newestRevision = 0;
    int64_t m_knownUpTo = 0;
    Instant m_confirmedAt {}; // last time for which m_newestRevision is known
    Instant m_confirmedWithOthersAt {}; // the same without checks of the document alone
};

}
