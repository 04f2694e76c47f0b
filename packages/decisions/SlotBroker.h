// Grants the slots of backend servers to the requests of all hosts: one queue for each pool of servers.
//
// Load pattern: a server with a few slots and dozens of hosts that each send it a few requests a second. Shares of its
// slots that are divided in advance leave slots free beside waiting requests, or let several hosts send at once. The
// excess then waits inside the server, in order of arrival, where a request that can still meet its target can't
// overtake one that can't. With one queue for all hosts a free slot is never beside a waiting request, the server's
// own queue stays empty, and rank, target and deadline order all waiting requests (DeadlineQueue).
//
// The broker is about load alone: who may run a key's requests is decided by the grants, so a request that is sent
// without a slot, or by the grant of a broker that was replaced, does no harm beyond its wait.
//
// Failures:
// - A host is lost: its slots count as used until the deadlines of its requests, since servers may work on them.
// - A grant or an end is lost: the host repeats its asks, and states regularly which slots it uses.
// - Two hosts are brokers of a pool for a while, as hosts know different lists or can't reach the first: each states
//   the slots that it uses to the broker that it asks, whoever granted them. A broker that is new to a pool grants
//   only a part of the slots until the hosts have stated theirs (newPoolLimit).
// - The broker restarts: it begins anew, and hosts that use slots state them.
#pragma once

#include "decisions/DeadlineQueue.h"
#include "decisions/SlotMessages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace cumindale {

struct PoolServer {
    std::string id;
    std::string dataCentre;
    unsigned slots = 1;
};

// What the broker needs to know of the registered servers.
class ServerDirectory {
public:
    virtual ~ServerDirectory() = default;
    // The servers of a pool that may get new requests now.
    virtual std::vector<PoolServer> serversOf(std::string_view pool) const = 0;
};

struct SlotBrokerOptions {
    // Requests at a server beyond its slots. One is on its way while the end of another is reported; without it, a slot
    // would stand idle for the time of two messages after each request.
    unsigned requestsAhead = 1;
    // How long a broker that is new to a pool waits for hosts to state the slots that they use, and the part of the
    // slots that it grants meanwhile.
    Millis newPoolPeriod { 300 };
    double newPoolLimit = 0.5;
    // A slot that its holder doesn't state is free, unless it was granted so recently that the statement may be older.
    Millis statementDelay { 150 };
    double targetDeviations = 1; // see DeadlineQueueOptions
    double queuedPerSlot = 4; // longest queue of a pool, for each of its slots
    // A caller that returns with a refused request within this time is known again, and its target and its age count
    // from its first attempt. Otherwise callers that repeat at once would push out those that ask for the first time.
    Millis returnPeriod { 3'000 };
    // An ask that isn't repeated for so long is dropped: its host is lost or has found another broker.
    Millis askLifetime { 350 };
    Millis directoryInterval { 200 }; // the servers of a pool are looked up again after this time
    Millis poolLifetime { 10'000 }; // a pool without asks or slots in use is dropped
    Millis sweepInterval { 1'000 }; // between two looks for such pools
    double speedSmoothing = 0.1; // weight of the newest answer in a server's mean time
    double remoteFactor = 2.5; // a server in another data centre than the asking host counts as this much slower
    Millis failurePause { 200 }; // after several refusals in a row a server gets no request for so long, then longer
    Millis maxFailurePause { 2'000 };
};

// A reply and the host that it goes to.
struct AddressedReply {
    std::string host;
    SlotReply reply;
};

class SlotBroker {
public:
    SlotBroker(SlotBrokerOptions, const ServerDirectory&);
    ~SlotBroker();

    // `dataCentre`: of the sender.
    void onMessage(const SlotMessage&, std::string_view dataCentre, Instant now);
    // Drops what has expired and grants slots that became free by that. Call about each 10 ms.
    void advance(Instant now);
    std::vector<AddressedReply> takeReplies();
    bool isIdle() const { return m_pools.empty() && m_hosts.empty(); } // no host has sent anything for long

    // --- For operators
    struct PoolStatus {
        std::string pool;
        size_t servers = 0;
        unsigned slots = 0;
        unsigned used = 0;
        size_t waiting = 0;
        Millis expectedWait { 0 };
    };
    std::vector<PoolStatus> status(size_t most) const; // the pools with the most waiting requests first
    unsigned usedAt(std::string_view pool, std::string_view server) const; // slots granted or stated as used
    uint64_t granted() const { return m_granted; } // since the start
    uint64_t refused() const { return m_refused; }

private:
    struct Pool;
    struct UsedSlot;
    // Identifies a request. The incarnation keeps the slots of a host that restarted apart from its new ones.
    struct Holder {
        std::string host;
        uint64_t incarnation = 0;
        TicketId ticket = 0;
        bool operator<(const Holder& other) const
        {
            return std::tie(host, incarnation, ticket) < std::tie(other.host, other.incarnation, other.ticket);
        }
    };
    struct HostState {
        uint64_t incarnation = 0;
        Instant heardAt {};
        std::set<std::string> pools; // of which it uses or has used slots
    };
    // Requests that ended a short time ago: an ask that arrives late must not get a slot that nobody uses.
    class EndedRequests {
    public:
        void add(const Holder&, Instant now);
        bool contains(const Holder& holder) const { return m_holders.contains(holder); }
        void dropBefore(Instant);

    private:
        struct Entry {
            Holder holder;
            Instant endedAt {};
        };
        std::set<Holder> m_holders;
        std::deque<Entry> m_order; // oldest first
    };

    Pool* poolOf(const std::string& name, Instant now); // null: there are too many pools
    void refreshServers(Pool&, Instant now);
    void onIncarnation(const std::string& host, uint64_t incarnation, Instant now);
    Pool* onEnd(const Holder&, const SlotEnd&, Instant now); // null: the pool isn't known
    void onHeld(const std::string& host, uint64_t incarnation, std::span<const HeldSlot>, Instant now);
    void onAsk(const Holder&, std::string_view dataCentre, const SlotAsk&, Instant now);
    void use(Pool&, const Holder&, UsedSlot, Instant now);
    void sweep(Instant now);
    void advance(Pool&, Instant now);
    void grantNext(Pool&, Instant now);
    void grant(Pool&, const Holder&, const SlotRequest&, const std::string& server, Instant now);
    void refuse(Pool&, const Holder&, const SlotRequest&);
    void refuseWaiting(Pool&, TicketId);
    void refuseHopeless(Pool&, Instant now);
    void reply(const Holder&, SlotReply::Kind, std::string server = {}, Millis wait = {});

    SlotBrokerOptions m_options;
    const ServerDirectory& m_directory;
    std::map<std::string, std::unique_ptr<Pool>, std::less<>> m_pools;
    std::map<std::string, HostState, std::less<>> m_hosts;
    EndedRequests m_ended;
    Instant m_sweptAt {};
    std::vector<AddressedReply> m_replies;
    uint64_t m_granted = 0;
    uint64_t m_refused = 0;
};

}
