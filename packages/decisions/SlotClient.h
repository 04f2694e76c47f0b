// A host's asks for slots: which broker each one goes to, when it is repeated, and when the host goes on without one.
//
// Failures:
// - The first broker of a pool doesn't answer (lost, paused, cut off): after `answerTimeout` the ask goes to the second
//   one, and for `silencePeriod` further asks go there at once. If neither answers, the request goes on without a
//   broker. No request waits longer than two such timeouts for brokers that are gone.
// - A message is lost: asks are repeated while they wait. If the broker has answered others since, only this ask goes
//   to the second broker, or is repeated if it was queued. A lost end is made up for by the statements that follow.
// - A broker that was silent answers again: it is asked again after `silencePeriod`, and told of all slots in use.
// - Two brokers grant the slots of a pool for a while: a slot is stated to the broker that granted it and to the one
//   that is now asked for the pool, and its end goes to both.
#pragma once

#include "decisions/BrokerPlan.h"
#include "decisions/SlotMessages.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace cumindale {

struct SlotClientOptions {
    Millis answerTimeout { 30 }; // several round trips between data centres, and a weak broker's delay
    Millis repeatInterval { 100 }; // of an ask that is queued
    Millis silencePeriod { 1'000 };
    Millis statementInterval { 250 }; // between two statements of the slots in use to one broker
    size_t brokersAsked = 2; // number of brokers tried for a pool
};

// Result of an ask.
struct SlotOutcome {
    enum class Kind : uint8_t {
        Granted,
        Refused,
        NoBroker, // no broker answers, none is known, or it knows no server for the request
    };
    TicketId ticket = 0;
    Kind kind = Kind::NoBroker;
    std::string server; // if granted
    Millis wait { 0 }; // if refused: see SlotReply
};

// A message and the broker that it goes to.
struct AddressedMessage {
    Broker broker;
    SlotMessage message;
};

class SlotClient {
public:
    SlotClient(SlotClientOptions, std::string host, uint64_t incarnation);

    // A list that isn't newer than the present one is ignored. Asks and slots in use follow the new one with the next
    // advance(), which is due at once.
    void setBrokers(std::shared_ptr<const BrokerList>);
    bool hasBrokers() const { return m_brokers && !m_brokers->brokers.empty(); }

    // --- Requests
    // Returns the ticket. `request.ticket` is not used.
    TicketId ask(const std::string& pool, const SlotRequest& request, std::string preferred,
        std::vector<std::string> excluded, Instant now);
    void cancel(TicketId, Instant now); // of an ask without outcome
    // The request uses a slot that no broker granted. Returns the ticket for release().
    TicketId useWithoutGrant(const std::string& pool, const std::string& server, Instant deadline, Instant now);
    void release(TicketId, Millis took, bool refused, Instant now); // of a granted or used slot

    // --- Messages
    void onReplies(std::string_view broker, uint64_t incarnation, const std::vector<SlotReply>&, Instant now);
    void advance(Instant now); // call when nextEvent() has come
    Instant nextEvent() const;
    std::vector<AddressedMessage> takeMessages(); // at most one for each broker
    std::vector<SlotOutcome> takeOutcomes();

    // --- For operators
    size_t waiting() const { return m_asks.size(); }
    size_t used() const { return m_held.size(); }
    std::vector<std::string> silentBrokers(Instant now) const;

private:
    struct Ask {
        SlotRequest request;
        std::string pool;
        std::string preferred;
        std::vector<std::string> excluded;
        std::string broker; // host that was asked last
        std::vector<std::string> tried; // brokers that didn't answer
        Instant sentAt {};
        Instant due {}; // its timer
        bool answered = false; // the last sending of the ask
        bool queued = false; // at this broker
    };
    struct Held {
        std::string pool;
        std::string server;
        // Brokers that count the slot: first the one that granted it, then those that were asked for the pool later.
        std::vector<std::string> brokers;
        Instant deadline {};
        bool countedBy(std::string_view broker) const;
    };
    struct BrokerState {
        Instant silentUntil {};
        bool wasSilent = false; // since then it was neither asked nor heard
        Instant heardAt {};
        std::optional<uint64_t> incarnation; // no value: not heard yet
        Instant activeAt {}; // last ask, end or reply
        Instant statedAt {}; // the slots in use were last stated
        bool mustState = false; // state them with the next message
    };
    struct Timer {
        Instant at {};
        TicketId ticket = 0;
        bool operator<(const Timer& other) const { return std::tie(at, ticket) < std::tie(other.at, other.ticket); }
    };

    // --- Brokers
    const Broker* find(std::string_view host) const;
    // The broker to ask for a pool; null: none is left.
    const Broker* choose(const std::string& pool, const std::vector<std::string>& tried) const;
    void applyList();
    void onSilence(const std::string& broker);
    void onSilenceEnded(const std::string& broker, BrokerState&);

    // --- Asks
    void send(TicketId, Ask&);
    void askOrGiveUp(TicketId);
    void moveOn(TicketId); // to the next broker
    void onTimer(TicketId);
    void finish(TicketId, SlotOutcome);
    void onReply(const std::string& broker, const SlotReply&);
    void onGranted(const std::string& broker, const SlotReply&);

    // --- Slots in use
    void countAtAskedBroker(Held&); // if the slot isn't counted there yet
    void mustState(const std::string& broker);
    std::vector<HeldSlot> heldAt(std::string_view broker) const;
    void rememberPool(TicketId, std::string pool);

    // --- Messages
    BrokerState& touch(const std::string& broker); // a statement follows
    SlotMessage& messageTo(const std::string& broker, TicketId);
    void sendEnd(const std::string& broker, SlotEnd);

    SlotClientOptions m_options;
    std::string m_host;
    uint64_t m_incarnation;
    std::shared_ptr<const BrokerList> m_brokers; // null: none known yet
    bool m_listChanged = false; // not yet applied to asks and slots in use
    mutable std::map<std::string, std::vector<size_t>> m_brokersOfPool; // cached brokersOf()
    TicketId m_nextTicket;
    std::map<TicketId, Ask> m_asks;
    std::set<Timer> m_timers; // one for each ask
    std::map<TicketId, Held> m_held;
    std::map<TicketId, std::string> m_endedPools; // pools of the tickets that ended last
    std::map<std::string, BrokerState, std::less<>> m_states; // by broker
    std::set<std::string> m_stating; // brokers to which statements are due
    std::map<std::string, SlotMessage> m_messages; // by broker; not yet taken
    std::vector<SlotOutcome> m_outcomes;
    Instant m_now {};
};

}
