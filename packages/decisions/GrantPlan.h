// The coordinator's decisions for one service: which server holds which keys, and what to tell the servers next.
//
// Pure: it takes the registered servers, the answers to its orders and the time, and returns orders and tables to
// write. How one holder at a time is kept:
//
// - Nothing is ordered before the table that announces it is in the store (GrantTable, written with a compare on the
//   coordinator's office), so whoever takes over knows every server that may hold a key.
// - A move is announced, then released at the holder; the next server is granted the range only when the release was
//   answered, or when the last grant that may have reached the holder has run out. An order without an answer may
//   still be carried out later; its time counts from its arrival, which was before the connection was reset.
// - A new coordinator gives every range a fresh, higher fence. Once the holder has taken it, the former coordinator's
//   orders are refused there. A holder that doesn't answer is waited for as long as the former coordinator may go on
//   renewing plus one hold.
// - A server may start again under its name, at its address, and then takes any fence. A grant carries a fence that was
//   sent before only over the connection over which the server has been answering: an incarnation of a server doesn't
//   outlast its connections. Over a new one it carries a higher fence than any incarnation has taken. Such fences are
//   drawn from a reserve that is in the store already, so that an outage of the store doesn't keep grants from being
//   renewed.
// - A refusal for a higher fence means that another coordinator is at work: this one stops at once (deposed()).
#pragma once

#include "base/Time.h"
#include "decisions/GrantTable.h"
#include "decisions/RouteRules.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

struct GrantTiming {
    Millis leaseDuration {
        3'000
    }; // a lost server's keys wait for it; a coordinator's loss must be over before (about 2 s)
    Millis minRenewInterval { 600 }; // several tries within one hold
    Millis maxRenewInterval { 1'000 }; // a third of the hold: with many ranges, so that two tries may fail
    double renewalsPerSecond = 1'000; // about 10% of a core: with more ranges they are renewed less often, down to that
    Millis retryInterval { 150 }; // after an order without an answer
    Millis releaseDelay { 40 }; // between the write of a move and the release: hosts stop sending first
    Millis lazyWriteDelay { 1'500 }; // an ended move is written so late, or with the next announcement
    // Ranges for each server at first: busy keys lie close together and spread so. Each range is renewed by a call of
    // its own, so a large service gets fewer for each server.
    unsigned initialRangesPerServer = 4;
    unsigned maxInitialRanges = 200;
    Millis margin { 150 }; // for timers that fire late, at the server and here
    // Fences that the table in the store covers ahead of the highest one in use. One is used for each range of a server
    // at each loss of a connection; at half of it a table is written that covers as many more.
    uint64_t fenceReserve = 4'000;
    double clockDriftFactor = 1.02; // a server's clock may measure a hold so much longer
    Millis orderTimeout { 400 }; // after it an order's connection is reset: it arrived before or never
    // A server is silent after so many orders in a row without an answer, and so long without any: one that is
    // overloaded resets connections now and then.
    unsigned missesUntilUnresponsive = 2;
    Millis unresponsiveAfter { 800 };
    // While hosts get answers from it, orders or their answers are lost on the way: another try costs nothing, and
    // moving its keys would leave them without an owner until its hold has run out.
    Millis unresponsiveAfterWhileServing { 2'000 };
    Millis serverUseLifetime {
        700
    }; // a host's report of an answer counts for so long: two report intervals and their way
    // A coordinator that can't reach the store goes on renewing for so long (longer than the outages that hosts
    // see), and a new one waits as long for holders that it can't reach.
    Millis maxRenewalWithoutStore { 12'000 };
};

// One call to a server.
struct GrantOrder {
    enum class Kind : uint8_t { Grant, Release };
    Kind kind = Kind::Grant;
    uint64_t range = 0; // id within the plan
    uint64_t number = 0; // of this order; its answer names it
    std::string server;
    uint32_t first = 0;
    uint32_t last = 0;
    uint64_t fence = 0;
    Millis leaseDuration { 0 };
    std::string handover; // opaque, from the former holder
};

enum class OrderResult : uint8_t {
    Done,
    HigherFence, // refused: the server has seen a higher fence on one of the keys
    OtherServer, // another server answers at this address: the one that was meant has ended
    Rejected, // refused for another reason
    Unanswered, // may have arrived
    NotSent, // surely did not arrive
};

std::string_view nameOf(OrderResult);

struct OrderAnswer {
    uint64_t range = 0;
    uint64_t number = 0;
    OrderResult result = OrderResult::NotSent;
    std::string handover; // of a release
    Instant endedAt {}; // the order had arrived by then, or never will
};

// What a plan decided and why, for the log.
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

    // --- Beginning. Either of the two, once.
    void takeOver(const GrantTable&, Instant now);
    void begin(Instant now); // no table yet: the first servers get equal parts

    // --- What is known
    using Servers = std::map<std::string, RegisteredServer, std::less<>>;
    // Plans moves away from servers that leave, are gone, don't answer, or take hardly any requests while they warm up.
    void maintain(const Servers&, Instant now);
    void avoidWarmingUpServers(bool avoid)
    {
        m_avoidWarmingUpServers = avoid;
    } // servers that warm up are to get nothing new
    // The fence with which an order goes out over this connection. Nothing: it must not be sent, and counts as not
    // sent.
    std::optional<uint64_t> fenceToSend(const GrantOrder&, bool newConnection);
    void onAnswer(const OrderAnswer&);
    void onServedRequest(const std::string& server, Instant at); // a host has had an answer of it
    bool move(uint32_t first, uint32_t last, const std::string& to, std::string why); // cut out and moved; false: busy
    // The former coordinator sends nothing after `at`: holders that can't be reached are waited for no longer than one
    // hold from then.
    void onPreviousStopped(Instant at);

    // --- What to do
    std::vector<GrantOrder> due(Instant now);
    // Announcements are written at once. What only tells that an announced move has ended can wait: whoever takes over
    // meanwhile finishes the move again.
    bool needsWrite(Instant now) const;
    GrantTable table() const; // as it should be in the store
    void onWritten(uint64_t edition, Instant now); // a table of this edition is in the store
    bool deposed() const { return m_deposed; }

    // --- Looking
    std::vector<GrantEvent> takeEvents();
    uint64_t edition() const { return m_edition; } // of table()
    bool mostAreUnresponsive() const; // of the servers that hold ranges: more likely this host is cut off than they
    bool isUnresponsive(std::string_view server) const;
    const std::string& service() const { return m_service; }

private:
    // The last grant that went out for a range.
    struct SentFence {
        uint64_t fence = 0; // 0: none
        uint64_t connection = 0; // of the server, as counted in Answers
    };

    struct RangeState {
        KeyRange range;
        uint64_t id = 0;
        uint64_t edition = 0; // of the table that first shows it as it is
        bool confirmed = false; // the holder took the present fence
        bool freedByHolder = false; // moving: the former holder surely holds nothing any more
        bool released = false; // moving: the holder answered a release
        bool nextMayHold = false; // moving: the next server may have been granted the range
        uint64_t outstanding = 0; // number of the order under way; 0: none
        GrantOrder::Kind outstandingKind = GrantOrder::Kind::Grant;
        std::string outstandingServer;
        Instant orderedAt {};
        Instant announcedAt {}; // when the present edition was in the store
        Instant confirmedLeaseUntil {}; // the holder may hold it until then, by orders of ours that were answered
        Instant unansweredLeaseUntil {}; // by orders of ours without an answer
        Instant inheritedLeaseUntil {}; // by orders of a former coordinator
        Instant nextUnansweredLeaseUntil {}; // the next server, by orders of ours without an answer
        Instant nextInheritedLeaseUntil {}; // the next server, by orders of a former coordinator
        SentFence sent; // to the holder
        SentFence nextSent; // to the next server
        std::string handover;
    };

    Instant leaseExpiry(Instant arrivedBy) const;
    Instant holderExpiry(const RangeState&) const; // from then on the holder surely holds nothing
    bool announced(const RangeState& state) const { return state.edition <= m_writtenEdition; }
    enum class Urgency : uint8_t { Announcement, Lazy };
    void markChanged(RangeState&, Urgency); // it differs from what the store holds
    void moveAway(RangeState&, const Servers&, std::string why, Instant now);
    void setNext(RangeState&, const std::string& to, std::string why);
    void raiseFenceLimit();
    bool usable(const Servers&, const std::string& server) const;
    bool isAvoided(const RegisteredServer&, Instant now) const; // it is warming up, and is to get nothing new
    std::string laterIncarnationOf(const Servers&, const std::string& server) const; // empty: none that is usable
    std::string bestTarget(const Servers&, const std::string& except, Instant now) const;
    bool anyWarmedUp(const Servers&, Instant now) const;
    std::string reasonToMove(const Servers&, const KeyRange&, bool isolated, bool anyWarmedUp, Instant now) const;
    void assignInitialRanges(const Servers&);
    void updateMove(RangeState&, const Servers&, Instant now);
    void updateHolderState(RangeState&, Instant now); // of a moving range
    bool isServing(std::string_view server, Instant now) const; // answers hosts
    void mergeNeighbours(); // neighbours that are held by one server with one fence become one range
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
    std::vector<RangeState> m_ranges; // ascending
    uint64_t m_nextId = 1;
    uint64_t m_nextOrder = 1;
    uint64_t m_highestFence = 0; // in use
    uint64_t m_fenceLimit = 0; // of the table: no fence above it is used
    uint64_t m_fenceLimitEdition = 0; // of the table that first shows this limit
    uint64_t m_writtenFenceLimit = 0; // of a table that is in the store
    uint64_t m_edition = 0;
    uint64_t m_writtenEdition = 0;
    uint64_t m_lastAnnouncementEdition = 0; // highest edition with an announcement
    Instant m_lastWrite {};
    struct ServerContact {
        unsigned missedAnswers = 0; // orders in a row without an answer
        uint64_t connections = 0; // made to it so far
        Instant lastAnswer {}; // when it last answered
        Instant lastServed {}; // when it last answered a host
        bool unresponsive = false;
    };

    std::map<std::string, ServerContact, std::less<>> m_contacts; // by server
    bool m_deposed = false;
    bool m_avoidWarmingUpServers = false;
    std::vector<GrantEvent> m_events;
};

// The incarnation that is registered under a server's name; null: none.
const RegisteredServer* registeredIncarnation(const GrantPlan::Servers&, std::string_view name);

}
