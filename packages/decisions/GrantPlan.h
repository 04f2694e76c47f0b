// Decides for one service which server holds which keys, and which orders the coordinator sends to the servers.
//
// GrantPlan does no I/O: its inputs are the registered servers, the servers' answers to orders and the time; its
// outputs are orders and tables to write to the store. A grant is a lease on a range of keys with a fencing token, the
// fence. These rules ensure that at most one server holds a key at any time:
//
// - No order is sent before the table that announces the change is in the store (see GrantTable). The write succeeds
//   only while this host is the coordinator. A new coordinator thus knows every server that may hold a key.
// - A move is announced first; then the range is released at its holder. The next server is granted the range only
//   after the holder has answered the release, or after the last grant that may have reached the holder has expired. An
//   order without an answer may still be carried out later; its lease counts from its arrival at the server, which was
//   before its connection was reset.
// - A new coordinator gives every range a new, higher fence. Once the holder has taken this fence, the server refuses
//   orders of the previous coordinator. For a holder that doesn't answer, the new coordinator waits for the longest
//   time that the previous coordinator may go on renewing, plus one lease.
// - A server that restarts under its name and address has lost all fences and takes any. A fence that was sent before
//   is therefore sent again only over the connection on which the server has been answering, since an incarnation of a
//   server doesn't outlive its connections. Over a new connection, a grant carries a fence higher than any that an
//   incarnation has taken. The table in the store covers a reserve of such fences, so that grants can be renewed while
//   the store is unavailable.
// - With many ranges, leases are longer, so that they can be renewed in time. The table in the store says how long the
//   longest one may be, before a grant has it: a new coordinator waits for the leases of its predecessors.
// - If a server refuses an order because it has seen a higher fence, another coordinator is active: this one stops at
//   once (deposed()).
#pragma once

#include "base/Time.h"
#include "decisions/FleetTiming.h"
#include "decisions/GrantTable.h"
#include "decisions/MoveTargets.h"
#include "decisions/RouteRules.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

struct GrantTiming {
    // Duration of a grant. The keys of a lost server wait for this long, and the loss of a coordinator (about 2 s) must
    // be over within it.
    Millis leaseDuration { 3'000 };
    // With more ranges than can be renewed three times in a lease, leases are longer, up to this. Servers may take no
    // longer ones.
    Millis maxLeaseDuration { 10'000 };
    double maxRenewalsPerSecond = 2'000; // about 20% of a core
    Millis minRenewInterval { 600 }; // allows several attempts within one lease
    Millis maxRenewInterval {
        1'000
    }; // a third of `leaseDuration`, so that two attempts may fail even with many ranges
    // About 10% of a core. With more ranges each is renewed less often, down to once in maxRenewInterval.
    double renewalsPerSecond = 1'000;
    Millis retryInterval { 150 }; // after an order without an answer
    Millis releaseDelay { 40 }; // from the write of a move to the release: hosts stop sending requests meanwhile
    Millis lazyWriteDelay { 1'500 }; // the end of a move is written this late, or with the next announcement
    // Ranges per server in a new service. Busy keys lie close together, and several ranges spread them over the
    // servers. Each range is renewed by a separate call, so a service with many servers gets fewer ranges per server.
    unsigned initialRangesPerServer = 4;
    unsigned maxInitialRanges = 200;
    Millis margin { 150 }; // for timers that fire late, at the server and here
    // Fences that the table in the store covers beyond the highest one in use. Each loss of a connection uses one for
    // each range of the server. When half of the reserve is left, a table that covers a full reserve is written.
    uint64_t fenceReserve = 4'000;
    double clockDriftFactor = 1.02; // a server with a slow clock may hold a lease longer by this factor
    Millis orderTimeout { 400 }; // the connection is reset after it: the order has arrived by then, or never will
    // A server is unresponsive after this many orders in a row without an answer, and this long since its last answer.
    // Both are required because an overloaded server resets connections now and then.
    unsigned missesUntilUnresponsive = 2;
    Millis unresponsiveAfter { 800 };
    // For a server that still answers hosts, only orders or their answers are being lost. Another attempt costs
    // nothing, and a move would leave its keys without an owner until its lease has expired.
    Millis unresponsiveAfterWhileServing { 2'000 };
    // A coordinator that can't reach the store goes on renewing for this long, which is longer than the outages that
    // hosts see. A new coordinator waits as long for holders that it can't reach.
    Millis maxRenewalWithoutStore { 12'000 };
};

// One call to a server.
struct GrantOrder {
    enum class Kind : uint8_t { Grant, Release };
    Kind kind = Kind::Grant;
    uint64_t range = 0; // id of the range within the plan
    uint64_t number = 0; // of this order, repeated in its answer
    std::string server;
    uint32_t first = 0;
    uint32_t last = 0;
    uint64_t fence = 0;
    Millis leaseDuration { 0 };
    std::string handover; // opaque data that the previous holder returned when it released the range
};

enum class OrderResult : uint8_t {
    Done,
    HigherFence, // refused: the server has seen a higher fence on one of the keys
    OtherServer, // another server answers at this address: the intended one has ended
    Rejected, // refused for another reason
    Unanswered, // the order may have arrived
    NotSent, // the order certainly did not arrive
    Withheld, // not sent, since the coordinator may no longer act; tells nothing about the server
};

std::string_view nameOf(OrderResult);

struct OrderAnswer {
    uint64_t range = 0;
    uint64_t number = 0;
    OrderResult result = OrderResult::NotSent;
    std::string handover; // in the answer to a release
    Instant endedAt {}; // the order has arrived by this time, or never will
};

// A decision of the plan and its reason, for the log.
struct GrantEvent {
    std::string what;
    uint32_t first = 0;
    uint32_t last = 0;
    std::string server;
    std::string next;
    uint64_t fence = 0;
    std::string why;
};

class GrantPlan {
public:
    GrantPlan(std::string service, GrantTiming, int64_t term);

    // --- Start: one of the two is called, once
    void takeOver(const GrantTable&, Instant now); // continues the previous coordinator's table
    void begin(Instant now); // without a table: the keys are divided among the first servers

    // --- Inputs
    using Servers = std::map<std::string, RegisteredServer, std::less<>>;
    // Plans moves away from servers that are leaving, gone or unresponsive, or that take hardly any requests while they
    // warm up.
    void maintain(const Servers&, Instant now);
    // Whether servers that are warming up get no new ranges.
    void avoidWarmingUpServers(bool avoid) { m_avoidWarmingUpServers = avoid; }
    // The fence with which to send the order over this connection. Without a value the order must not be sent, and its
    // result is NotSent.
    std::optional<uint64_t> fenceToSend(const GrantOrder&, bool newConnection);
    void onAnswer(const OrderAnswer&);
    void onServedRequest(const std::string& server, Instant at); // a host reports that the server has answered it
    void setServerUseLifetime(Millis lifetime) { m_serverUseLifetime = lifetime; } // validity of such a report
    // Splits these keys off and moves them to a server. Returns false if their range can't move at present.
    bool move(uint32_t first, uint32_t last, const std::string& to, std::string why);
    // The previous coordinator sends nothing after `at`, so the wait for holders that can't be reached ends one lease
    // after `at`.
    void onPreviousStopped(Instant at);

    // --- Outputs
    std::vector<GrantOrder> due(Instant now);
    // Announcements are written at once. The end of an announced move can be written later: a coordinator that takes
    // over before the write completes the move again.
    bool needsWrite(Instant now) const;
    GrantTable table() const; // to be written to the store
    void onWritten(uint64_t edition, Instant now); // the table of this edition is in the store
    bool deposed() const { return m_deposed; }

    // --- Inspection
    std::vector<GrantEvent> takeEvents();
    uint64_t edition() const { return m_edition; } // of table()
    // Whether most servers that hold ranges are unresponsive. The likely cause is that this host is isolated.
    bool mostAreUnresponsive() const;
    bool isUnresponsive(std::string_view server) const;
    const std::string& service() const { return m_service; }

private:
    // The fence of the last grant that was sent for a range.
    struct SentFence {
        uint64_t fence = 0; // 0: none
        uint64_t connection = 0; // value of ServerContact::connections at that time
    };

    struct RangeState {
        KeyRange range;
        uint64_t id = 0;
        uint64_t edition = 0; // of the first table that shows the present state of the range
        bool confirmed = false; // the holder has taken the present fence
        bool freedByHolder = false; // moving: the holder can no longer hold any of the keys
        bool released = false; // moving: the holder has answered a release
        bool nextMayHold = false; // moving: the next server may have been granted the range
        uint64_t outstanding = 0; // number of the order without a result yet; 0: none
        GrantOrder::Kind outstandingKind = GrantOrder::Kind::Grant;
        std::string outstandingServer;
        Instant orderedAt {};
        Instant announcedAt {}; // when the table of the present edition was in the store
        // Latest expiry of the leases that the holder may have:
        Instant confirmedLeaseUntil {}; // by answered orders of this coordinator
        Instant unansweredLeaseUntil {}; // by unanswered orders of this coordinator
        Instant inheritedLeaseUntil {}; // by orders of previous coordinators
        // The same for the next server:
        Instant nextUnansweredLeaseUntil {};
        Instant nextInheritedLeaseUntil {};
        SentFence sent; // to the holder
        SentFence nextSent; // to the next server
        std::string handover;
    };

    Instant leaseExpiry(Instant arrivedBy) const; // of a grant that arrived at this time at the latest
    Instant inheritedLeaseExpiry(Instant arrivedBy) const; // of a previous coordinator's grant
    Instant leaseEnd(Instant begin, Millis duration) const; // at the latest, by the server's clock
    void lengthenLease(); // if there are more ranges than the present lease allows to renew
    Instant holderExpiry(const RangeState&) const; // expiry of all leases that the holder may have
    bool announced(const RangeState& state) const { return state.edition <= m_writtenEdition; }
    enum class Urgency : uint8_t { Announcement, Lazy };
    void markChanged(RangeState&, Urgency); // marks it as different from the table in the store
    void moveAway(RangeState&, const Servers&, std::string why, Instant now);
    void setNext(RangeState&, const std::string& to, std::string why);
    void raiseFenceLimit();
    bool usable(const Servers&, const std::string& server) const;
    bool isAvoided(const RegisteredServer&, Instant now) const; // the server is warming up and gets no new ranges
    std::string laterIncarnationOf(const Servers&, const std::string& server) const; // empty: none is usable
    std::string bestTarget(const Servers&, const std::string& except, Instant now);
    MoveTargets rankTargets(const Servers&, Instant now) const;
    bool anyWarmedUp(const Servers&, Instant now) const;
    std::string reasonToMove(const Servers&, const KeyRange&, bool isolated, bool anyWarmedUp, Instant now) const;
    void assignInitialRanges(const Servers&);
    void updateMove(RangeState&, const Servers&, Instant now);
    void updateHolderState(RangeState&, Instant now); // of a moving range
    bool isServing(std::string_view server, Instant now) const; // has answered a host recently
    void mergeNeighbours(); // merges adjacent ranges that one server holds with the same fence
    RangeState* find(uint64_t id);
    Millis renewalInterval() const;
    std::optional<GrantOrder> renewalOrder(RangeState&, Instant now);
    std::optional<GrantOrder> moveOrder(RangeState&, Instant now);
    GrantOrder makeOrder(RangeState&, GrantOrder::Kind, const std::string& server, uint64_t fence, Instant now);
    void onGrantAnswer(RangeState&, const OrderAnswer&);
    void onReleaseAnswer(RangeState&, const OrderAnswer&);
    void recordAnswer(const std::string& server, OrderResult, Instant endedAt);
    void recordEvent(const RangeState&, std::string what, std::string why);

    std::string m_service;
    GrantTiming m_timing;
    int64_t m_term;
    std::vector<RangeState> m_ranges; // in ascending order of keys
    std::optional<MoveTargets> m_targets; // while maintain() runs, once it has been needed
    uint64_t m_nextId = 1;
    uint64_t m_nextOrder = 1;
    uint64_t m_highestFence = 0; // highest fence in use
    uint64_t m_fenceLimit = 0; // highest fence that table() allows to be used
    uint64_t m_fenceLimitEdition = 0; // of the first table with this limit
    uint64_t m_writtenFenceLimit = 0; // limit of the newest table in the store
    Millis m_lease; // of the grants that are sent
    Millis m_wantedLease; // used once a table that announces it is in the store
    uint64_t m_wantedLeaseEdition = 0; // of the first table that announces it
    Millis m_inheritedLease; // the longest of previous coordinators' grants
    uint64_t m_edition = 0;
    uint64_t m_writtenEdition = 0;
    uint64_t m_lastAnnouncementEdition = 0; // newest edition that announces a change
    Instant m_lastWrite {};
    struct ServerContact {
        unsigned missedAnswers = 0; // orders in a row without an answer
        uint64_t connections = 0; // number of connections made to the server so far
        Instant lastAnswer {}; // when the server last answered an order
        Instant lastServed {}; // when the server last answered a host
        bool unresponsive = false;
    };

    std::map<std::string, ServerContact, std::less<>> m_contacts; // by server
    bool m_deposed = false;
    bool m_avoidWarmingUpServers = false;
    Millis m_serverUseLifetime = FleetTiming {}.serverUseLifetime;
    std::vector<GrantEvent> m_events;
};

// The incarnation registered under a server's name, or null.
const RegisteredServer* registeredIncarnation(const GrantPlan::Servers&, std::string_view name);

}
