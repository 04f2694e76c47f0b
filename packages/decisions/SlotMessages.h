// Messages between hosts that need slots of backend servers and the hosts that grant them. See SlotBroker.h.
//
// A message may be lost, repeated or late. A ticket names one request of one sender; with the sender's name it is
// unique until the sender restarts, which changes its incarnation.
#pragma once

#include "base/Time.h"
#include "decisions/SlotQueue.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cumindale {

// Asks for a slot. Repeated with the same ticket until the request ends: a repetition keeps its place in the queue, and
// is answered with the present state, so that a lost reply is made up for.
struct SlotAsk {
    TicketId ticket = 0;
    std::string pool; // see poolOfServer() and poolOfService()
    PriorityClass priority = PriorityClass::Interactive;
    unsigned rank = 0; // 0 is the highest
    Millis age { 0 }; // since the request arrived
    Millis targetLeft { 0 }; // until the target; may be negative
    Millis deadlineLeft { 0 };
    std::string preferred; // server to which the sender has a connection; empty: none
    std::vector<std::string> excluded; // servers that the request must not go to
    uint64_t identity = 0; // see SlotRequest
};

// The request has left its server, or no longer needs a slot. Sent once: HeldSlots make up for a lost one.
struct SlotEnd {
    TicketId ticket = 0;
    std::string pool;
    Millis took { 0 }; // from sending to the answer; 0: there was no answer
    bool refused = false; // the server answered that it didn't run the request
};

// A slot that the sender uses.
struct HeldSlot {
    TicketId ticket = 0;
    std::string pool;
    std::string server;
    Millis deadlineLeft { 0 }; // the request has ended by then
};

struct SlotReply {
    enum class Kind : uint8_t {
        Granted,
        Queued,
        Refused, // the request would not be served in time
        NoServer, // the broker knows no server that may take the request: the sender may see more
    };
    TicketId ticket = 0;
    Kind kind = Kind::Queued;
    std::string server; // if granted
    Millis wait { 0 }; // if refused: after this time a slot is expected to be free for such a request
};

struct SlotMessage {
    std::string sender; // name of the host
    uint64_t incarnation = 0; // of the sender
    std::string dataCentre; // of the sender
    std::vector<SlotAsk> asks;
    std::vector<SlotEnd> ends;
    // All slots that the sender uses of the receiver's pools; slots that aren't named are free. No value: not stated.
    std::optional<std::vector<HeldSlot>> held;
    std::vector<SlotReply> replies; // to the receiver's asks

    bool empty() const { return asks.empty() && ends.empty() && !held && replies.empty(); }
};

}
