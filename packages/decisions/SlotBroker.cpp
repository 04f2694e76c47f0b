#include "decisions/SlotBroker.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace cumindale {

namespace {

    // Bounds of memory; not reached by hosts that work as intended.
    constexpr size_t maxPools = 4'096;
    constexpr size_t maxUsedPerPool = 1'024;
    constexpr size_t maxEndedRequests = 16'384;

    // A slot is free after this time unless its holder states it anew, however late the request's deadline.
    constexpr Millis maxHoldTime { 60'000 };
    constexpr Millis hostLifetime { 60'000 }; // a host that sends nothing for so long is forgotten
    constexpr size_t minQueueLength = 64;
    constexpr unsigned refusalsBeforePause = 3;
    constexpr double newConnectionFactor
        = 1.2; // a server to which the host has no connection counts as this much slower

    // The waits of refused requests of one rank are spread over the time of so many starts. Those of the next rank
    // follow.
    constexpr double startsPerRank = 8;
    constexpr unsigned maxSpreadRank = 3;
    constexpr double goldenRatio = 0.618034; // the fractions of its multiples spread evenly

    struct Server {
        std::string dataCentre;
        unsigned slots = 1;
        bool usable = false; // listed by the directory
        unsigned used = 0;
        double workMillis = 0; // mean time of a request that doesn't wait inside the server; 0: no answer yet
        unsigned refusals = 0; // in a row
        Millis pause { 0 }; // the last one
        Instant pausedUntil {};
    };

    struct WaitingAsk {
        std::string dataCentre; // of the host
        std::string preferred;
        std::vector<std::string> excluded;
        SlotRequest request;
        Instant repeatedAt {};

        bool excludes(std::string_view server) const
        {
            return std::find(excluded.begin(), excluded.end(), server) != excluded.end();
        }
    };

    Instant after(Millis left, Instant now) { return now + std::clamp(left, -maxHoldTime, maxHoldTime); }

    // The first attempts of requests that have not been answered, by the requests' identities.
    class FirstAttempts {
    public:
        // Returns when the request arrived first: now, less its age, unless it has returned.
        Instant arrivalOf(uint64_t identity, Instant arrived, Instant now)
        {
            if (!identity)
                return arrived;
            const auto [at, added] = m_attempts.try_emplace(identity, Attempt { arrived, now });
            at->second.lastSeen = now;
            return at->second.arrived;
        }

        void forget(uint64_t identity) { m_attempts.erase(identity); }
        void dropBefore(Instant limit)
        {
            std::erase_if(m_attempts, [&](const auto& entry) { return entry.second.lastSeen < limit; });
        }

    private:
        struct Attempt {
            Instant arrived {};
            Instant lastSeen {};
        };
        std::unordered_map<uint64_t, Attempt> m_attempts;
    };

    SlotRequest requestOf(const SlotAsk& ask, TicketId ticket, Instant now)
    {
        SlotRequest result;
        result.ticket = ticket;
        result.priority = ask.priority;
        result.rank = ask.rank;
        result.arrived = after(-std::max(ask.age, Millis(0)), now);
        result.target = after(ask.targetLeft, now);
        result.deadline = after(ask.deadlineLeft, now);
        result.identity = ask.identity;
        return result;
    }

}

struct SlotBroker::UsedSlot {
    std::string server;
    PriorityClass priority = PriorityClass::Interactive;
    uint64_t identity = 0; // see SlotRequest
    Instant grantedAt {}; // adopted slots: the beginning of time
    Instant deadline {};
    double crowding = 1; // requests per slot when it began, at least 1
};

struct SlotBroker::Pool {
    std::string name;
    Instant createdAt {};
    Instant lastUse {};
    Instant refreshedAt {};
    Instant dueAt {}; // something expires, or the servers must be looked up again
    bool isNew = true;
    DeadlineQueue queue;

    explicit Pool(const SlotBrokerOptions& options)
        : queue({ .targetDeviations = options.targetDeviations })
    {
    }

    std::map<std::string, Server, std::less<>> servers;
    std::map<TicketId, WaitingAsk> waiting; // by the ticket in the queue
    std::map<Holder, TicketId> tickets; // of the waiting asks
    std::map<TicketId, Holder> holders; // the reverse
    std::map<Holder, UsedSlot> used;
    TicketId nextTicket = 1;
    uint64_t refusals = 0;
    FirstAttempts firstAttempts;

    unsigned limitOf(const Server& server, const SlotBrokerOptions& options) const
    {
        const unsigned full = server.slots + options.requestsAhead;
        return isNew ? std::max(1U, static_cast<unsigned>(full * options.newPoolLimit)) : full;
    }

    void updateLimit(const SlotBrokerOptions& options)
    {
        unsigned sum = 0;
        for (const auto& [id, server] : servers)
            sum += server.usable ? limitOf(server, options) : 0;
        queue.setLimit(sum);
        queue.setMaxQueueLength(std::max(minQueueLength, static_cast<size_t>(sum * options.queuedPerSlot)));
    }

    bool hasServerFor(const WaitingAsk& ask) const
    {
        return std::any_of(servers.begin(), servers.end(),
            [&](const auto& entry) { return entry.second.usable && !ask.excludes(entry.first); });
    }

    double expectedMillis(
        const std::string& id, const Server& server, const WaitingAsk& ask, const SlotBrokerOptions& options) const
    {
        double millis = server.workMillis;
        if (millis <= 0)
            millis = static_cast<double>(queue.meanWork(ask.request.priority).count());
        millis *= std::max(1.0, static_cast<double>(server.used + 1) / server.slots);
        if (server.dataCentre != ask.dataCentre)
            millis *= options.remoteFactor;
        return id == ask.preferred ? millis : millis * newConnectionFactor;
    }

    // The server with a free slot where the request ends first; none: it has to wait.
    std::optional<std::string> choose(const WaitingAsk& ask, const SlotBrokerOptions& options, Instant now) const
    {
        const auto possible = [&](const auto& entry) { return entry.second.usable && !ask.excludes(entry.first); };
        // A request must not fail because of pauses: if all servers are paused, it gets the one whose pause ends first.
        const bool allPaused = std::none_of(servers.begin(), servers.end(),
            [&](const auto& entry) { return possible(entry) && entry.second.pausedUntil <= now; });
        const auto costOf = [&](const auto& entry) {
            const Server& server = entry.second;
            const Instant paused = allPaused ? server.pausedUntil : Instant {};
            return Cost { paused, server.used >= server.slots, expectedMillis(entry.first, server, ask, options) };
        };
        std::optional<Cost> least;
        const std::string* best = nullptr;
        for (const auto& entry : servers) {
            const Server& server = entry.second;
            if (!possible(entry) || server.used >= limitOf(server, options) || (!allPaused && server.pausedUntil > now))
                continue;
            const Cost cost = costOf(entry);
            if (least && !(cost < *least))
                continue;
            least = cost;
            best = &entry.first;
        }
        return best ? std::optional(*best) : std::nullopt;
    }

    void use(const Holder& holder, UsedSlot slot, Instant now)
    {
        Server& server = servers[slot.server];
        ++server.used;
        dueAt = std::min(dueAt, slot.deadline);
        if (server.usable)
            queue.startGranted(now);
        slot.crowding = std::max(1.0, static_cast<double>(server.used) / server.slots);
        used.insert_or_assign(holder, std::move(slot));
    }

    using UsedIterator = std::map<Holder, UsedSlot>::iterator;
    UsedIterator release(UsedIterator at, Millis took, Instant now)
    {
        const UsedSlot& slot = at->second;
        Server& server = servers[slot.server];
        --server.used;
        if (server.usable)
            queue.releaseSlot(slot.priority, took, now);
        return used.erase(at);
    }

    void removeWaiting(TicketId ticket)
    {
        queue.withdraw(ticket);
        waiting.erase(ticket);
        const auto holder = holders.find(ticket);
        tickets.erase(holder->second);
        holders.erase(holder);
    }

private:
    struct Cost {
        Instant pausedUntil {};
        bool waitsAtServer = false;
        double millis = 0;
        bool operator<(const Cost& other) const
        {
            return std::tie(pausedUntil, waitsAtServer, millis)
                < std::tie(other.pausedUntil, other.waitsAtServer, other.millis);
        }
    };
};

namespace {

    void learn(Server& server, double crowding, const SlotEnd& end, const SlotBrokerOptions& options, Instant now)
    {
        if (!end.refused && end.took.count() > 0) {
            const double millis = static_cast<double>(end.took.count()) / crowding;
            double& mean = server.workMillis;
            mean = mean > 0 ? mean + options.speedSmoothing * (millis - mean) : millis;
            server.refusals = 0;
            server.pause = Millis(0);
            server.pausedUntil = {};
            return;
        }
        // Requests that were sent before the pause don't lengthen it.
        if (!end.refused || now < server.pausedUntil || ++server.refusals < refusalsBeforePause)
            return;
        server.pause = std::clamp(2 * server.pause, options.failurePause, options.maxFailurePause);
        server.pausedUntil = now + server.pause;
    }

}

void SlotBroker::EndedRequests::add(const Holder& holder, Instant now)
{
    if (!m_holders.insert(holder).second)
        return;
    m_order.push_back({ holder, now });
    if (m_order.size() > maxEndedRequests)
        dropBefore(m_order.front().endedAt + Millis(1));
}

void SlotBroker::EndedRequests::dropBefore(Instant limit)
{
    while (!m_order.empty() && m_order.front().endedAt < limit) {
        m_holders.erase(m_order.front().holder);
        m_order.pop_front();
    }
}

SlotBroker::SlotBroker(SlotBrokerOptions options, const ServerDirectory& directory)
    : m_options(options)
    , m_directory(directory)
{
}

SlotBroker::~SlotBroker() = default;

std::vector<AddressedReply> SlotBroker::takeReplies() { return std::exchange(m_replies, {}); }

void SlotBroker::reply(const Holder& holder, SlotReply::Kind kind, std::string server, Millis wait)
{
    m_replies.push_back({ holder.host, { holder.ticket, kind, std::move(server), wait } });
}

// --- Pools

SlotBroker::Pool* SlotBroker::poolOf(const std::string& name, Instant now)
{
    auto at = m_pools.find(name);
    if (at == m_pools.end()) {
        if (m_pools.size() >= maxPools)
            return nullptr;
        at = m_pools.emplace(name, std::make_unique<Pool>(m_options)).first;
        at->second->name = name;
        at->second->createdAt = now;
        refreshServers(*at->second, now);
    }
    at->second->lastUse = now;
    return at->second.get();
}

void SlotBroker::refreshServers(Pool& pool, Instant now)
{
    pool.refreshedAt = now;
    const std::vector<PoolServer> listed = m_directory.serversOf(pool.name);
    for (const PoolServer& one : listed) {
        Server& server = pool.servers[one.id];
        server.dataCentre = one.dataCentre;
        server.slots = std::max(1U, one.slots);
        if (server.usable)
            continue;
        server.usable = true;
        for (unsigned i = 0; i < server.used; ++i)
            pool.queue.startGranted(now);
    }
    for (auto& [id, server] : pool.servers) {
        const bool isListed
            = std::any_of(listed.begin(), listed.end(), [&id = id](const PoolServer& one) { return one.id == id; });
        if (!server.usable || isListed)
            continue;
        server.usable = false;
        for (unsigned i = 0; i < server.used; ++i)
            pool.queue.releaseSlot(PriorityClass::Interactive, Millis(0), now);
    }
    std::erase_if(pool.servers, [](const auto& entry) { return !entry.second.usable && !entry.second.used; });
    pool.updateLimit(m_options);
}

// --- Messages

void SlotBroker::onMessage(const SlotMessage& message, std::string_view dataCentre, Instant now)
{
    const auto holder = [&](TicketId ticket) { return Holder { message.sender, message.incarnation, ticket }; };
    onIncarnation(message.sender, message.incarnation, now);
    // The ends come first: they tell how long the requests took, which the statement doesn't.
    std::vector<Pool*> changed;
    for (const SlotEnd& end : message.ends)
        changed.push_back(onEnd(holder(end.ticket), end, now));
    if (message.held)
        onHeld(message.sender, message.incarnation, *message.held, now);
    for (Pool* pool : changed) {
        if (pool)
            grantNext(*pool, now);
    }
    for (const SlotAsk& ask : message.asks)
        onAsk(holder(ask.ticket), dataCentre, ask, now);
}

void SlotBroker::onIncarnation(const std::string& host, uint64_t incarnation, Instant now)
{
    const auto [at, added] = m_hosts.try_emplace(host);
    const bool restarted = !added && at->second.incarnation != incarnation;
    at->second.incarnation = incarnation;
    at->second.heardAt = now;
    if (!restarted)
        return;
    for (auto& [name, pool] : m_pools) {
        std::vector<TicketId> former;
        for (auto one = pool->tickets.lower_bound({ host, 0, 0 });
             one != pool->tickets.end() && one->first.host == host; ++one)
            former.push_back(one->second);
        for (const TicketId ticket : former)
            pool->removeWaiting(ticket);
    }
}

SlotBroker::Pool* SlotBroker::onEnd(const Holder& holder, const SlotEnd& end, Instant now)
{
    m_ended.add(holder, now);
    const auto found = m_pools.find(end.pool);
    if (found == m_pools.end())
        return nullptr;
    Pool& pool = *found->second;
    if (const auto ticket = pool.tickets.find(holder); ticket != pool.tickets.end())
        pool.removeWaiting(ticket->second);
    const auto used = pool.used.find(holder);
    if (used != pool.used.end()) {
        if (end.took.count() > 0 && !end.refused)
            pool.firstAttempts.forget(used->second.identity);
        learn(pool.servers[used->second.server], used->second.crowding, end, m_options, now);
        pool.release(used, end.refused ? Millis(0) : end.took, now);
    }
    return &pool;
}

void SlotBroker::onHeld(const std::string& host, uint64_t incarnation, std::span<const HeldSlot> held, Instant now)
{
    std::set<Holder> named;
    bool moved = false; // a slot is at another server than was known
    for (const HeldSlot& slot : held) {
        const Holder holder { host, incarnation, slot.ticket };
        Pool* pool = m_ended.contains(holder) ? nullptr : poolOf(slot.pool, now);
        if (!pool)
            continue;
        named.insert(holder);
        if (const auto ticket = pool->tickets.find(holder); ticket != pool->tickets.end())
            pool->removeWaiting(ticket->second);
        const auto known = pool->used.find(holder);
        if (known != pool->used.end() && known->second.server == slot.server) {
            known->second.deadline = after(slot.deadlineLeft, now);
            pool->dueAt = std::min(pool->dueAt, known->second.deadline);
            continue;
        }
        if (known != pool->used.end()) {
            pool->release(known, Millis(0), now);
            moved = true;
        }
        if (pool->used.size() < maxUsedPerPool)
            use(*pool, holder, { .server = slot.server, .deadline = after(slot.deadlineLeft, now) }, now);
    }
    // Only pools of which the host has used a slot: a broker has many pools, and each host states its slots often.
    std::set<std::string>& names = m_hosts[host].pools;
    for (auto name = names.begin(); name != names.end();) {
        const auto found = m_pools.find(*name);
        if (found == m_pools.end()) {
            name = names.erase(name);
            continue;
        }
        Pool* const pool = found->second.get();
        const size_t usedBefore = pool->used.size();
        auto at = pool->used.lower_bound({ host, incarnation, 0 });
        while (at != pool->used.end() && at->first.host == host && at->first.incarnation == incarnation) {
            const bool isFree = !named.contains(at->first) && now - at->second.grantedAt > m_options.statementDelay;
            at = isFree ? pool->release(at, Millis(0), now) : std::next(at);
        }
        if (moved || pool->used.size() < usedBefore)
            grantNext(*pool, now);
        const auto left = pool->used.lower_bound({ host, 0, 0 });
        const bool usesNone = left == pool->used.end() || left->first.host != host;
        name = usesNone ? names.erase(name) : std::next(name);
    }
}

void SlotBroker::use(Pool& pool, const Holder& holder, UsedSlot slot, Instant now)
{
    m_hosts[holder.host].pools.insert(pool.name);
    pool.use(holder, std::move(slot), now);
}

void SlotBroker::onAsk(const Holder& holder, std::string_view dataCentre, const SlotAsk& ask, Instant now)
{
    if (m_ended.contains(holder))
        return;
    Pool* pool = poolOf(ask.pool, now);
    if (!pool) {
        ++m_refused;
        return reply(holder, SlotReply::Kind::Refused, {}, m_options.poolLifetime);
    }
    if (const auto used = pool->used.find(holder); used != pool->used.end())
        return reply(holder, SlotReply::Kind::Granted, used->second.server);
    if (const auto ticket = pool->tickets.find(holder); ticket != pool->tickets.end()) {
        pool->waiting.at(ticket->second).repeatedAt = now;
        return reply(holder, SlotReply::Kind::Queued);
    }
    WaitingAsk waiting { .dataCentre = std::string(dataCentre),
        .preferred = ask.preferred,
        .excluded = ask.excluded,
        .request = requestOf(ask, pool->nextTicket++, now),
        .repeatedAt = now };
    SlotRequest& request = waiting.request;
    const Millis elapsed = request.arrived - pool->firstAttempts.arrivalOf(request.identity, request.arrived, now);
    request.arrived -= elapsed;
    request.target -= elapsed;
    if (!pool->hasServerFor(waiting))
        return reply(holder, SlotReply::Kind::NoServer);
    if (now >= pool->queue.latestStart(request))
        return refuse(*pool, holder, request);
    // None of the waiting requests can use a free slot: grantNext() would have granted it.
    if (const auto server = pool->choose(waiting, m_options, now))
        return grant(*pool, holder, request, *server, now);
    const auto verdict = pool->queue.enqueue(request, now);
    for (const TicketId shed : pool->queue.takeShed())
        refuseWaiting(*pool, shed);
    if (verdict == SlotQueue::Verdict::Refused)
        return refuse(*pool, holder, request);
    const TicketId ticket = request.ticket;
    pool->waiting.emplace(ticket, std::move(waiting));
    pool->tickets.emplace(holder, ticket);
    pool->holders.emplace(ticket, holder);
    reply(holder, SlotReply::Kind::Queued);
}

// --- Decisions

void SlotBroker::grantNext(Pool& pool, Instant now)
{
    refuseHopeless(pool, now);
    while (pool.queue.queued()) {
        const bool anyFree = pool.choose({}, m_options, now).has_value();
        const auto mayStart = [&](const SlotRequest& request) {
            const WaitingAsk& ask = pool.waiting.at(request.ticket);
            return ask.excluded.empty() ? anyFree : pool.choose(ask, m_options, now).has_value();
        };
        const auto ticket = pool.queue.takeNext(now, mayStart);
        if (!ticket)
            return;
        const WaitingAsk ask = pool.waiting.at(*ticket);
        const Holder holder = pool.holders.at(*ticket);
        pool.removeWaiting(*ticket);
        const auto server = pool.choose(ask, m_options, now);
        grant(pool, holder, ask.request, *server, now);
    }
}

void SlotBroker::grant(
    Pool& pool, const Holder& holder, const SlotRequest& request, const std::string& server, Instant now)
{
    use(pool, holder,
        { .server = server,
            .priority = request.priority,
            .identity = request.identity,
            .grantedAt = now,
            .deadline = request.deadline },
        now);
    ++m_granted;
    reply(holder, SlotReply::Kind::Granted, server);
}

void SlotBroker::refuse(Pool& pool, const Holder& holder, const SlotRequest& request)
{
    ++m_refused;
    const Millis expected = pool.queue.expectedWait(request.priority);
    const double startInterval
        = static_cast<double>(pool.queue.meanWork(request.priority).count()) / std::max(1U, pool.queue.limit());
    const double turns = static_cast<double>(++pool.refusals) * goldenRatio;
    const double ranks = std::min(request.rank, maxSpreadRank) + turns - std::floor(turns);
    const Millis spread(std::llround(startInterval * startsPerRank * ranks));
    const Millis wait = expected + spread;
    reply(holder, SlotReply::Kind::Refused, {}, wait);
}

void SlotBroker::refuseWaiting(Pool& pool, TicketId ticket)
{
    const Holder holder = pool.holders.at(ticket);
    const SlotRequest request = pool.waiting.at(ticket).request;
    pool.removeWaiting(ticket);
    refuse(pool, holder, request);
}

// Ends the wait of requests for which it has become too late, or all servers of which were removed.
void SlotBroker::refuseHopeless(Pool& pool, Instant now)
{
    std::vector<TicketId> late;
    std::vector<TicketId> withoutServer;
    for (const auto& [ticket, ask] : pool.waiting) {
        if (!pool.hasServerFor(ask))
            withoutServer.push_back(ticket);
        else if (now >= pool.queue.latestStart(ask.request))
            late.push_back(ticket);
    }
    for (const TicketId ticket : withoutServer) {
        reply(pool.holders.at(ticket), SlotReply::Kind::NoServer);
        pool.removeWaiting(ticket);
    }
    for (const TicketId ticket : late)
        refuseWaiting(pool, ticket);
}

void SlotBroker::advance(Instant now)
{
    m_ended.dropBefore(now - 2 * m_options.askLifetime);
    if (now - m_sweptAt >= m_options.sweepInterval)
        sweep(now);
    for (auto& [name, pool] : m_pools) {
        if (!pool->waiting.empty() || pool->dueAt <= now)
            advance(*pool, now);
    }
}

// Drops pools and hosts that were not heard of for long.
void SlotBroker::sweep(Instant now)
{
    m_sweptAt = now;
    std::erase_if(m_hosts, [&](const auto& host) { return now - host.second.heardAt > hostLifetime; });
    std::erase_if(m_pools, [&](const auto& entry) {
        const Pool& pool = *entry.second;
        return pool.used.empty() && pool.waiting.empty() && now - pool.lastUse > m_options.poolLifetime;
    });
}

void SlotBroker::advance(Pool& pool, Instant now)
{
    if (pool.isNew && now - pool.createdAt >= m_options.newPoolPeriod) {
        pool.isNew = false;
        pool.updateLimit(m_options);
    }
    if (now - pool.refreshedAt >= m_options.directoryInterval)
        refreshServers(pool, now);
    pool.dueAt = pool.refreshedAt + m_options.directoryInterval;
    if (pool.isNew)
        pool.dueAt = std::min(pool.dueAt, pool.createdAt + m_options.newPoolPeriod);
    for (auto at = pool.used.begin(); at != pool.used.end();) {
        const bool expired = at->second.deadline <= now;
        if (!expired)
            pool.dueAt = std::min(pool.dueAt, at->second.deadline);
        at = expired ? pool.release(at, Millis(0), now) : std::next(at);
    }
    pool.firstAttempts.dropBefore(now - m_options.returnPeriod);
    std::vector<TicketId> silent;
    for (const auto& [ticket, ask] : pool.waiting) {
        if (now - ask.repeatedAt > m_options.askLifetime)
            silent.push_back(ticket);
    }
    for (const TicketId ticket : silent)
        pool.removeWaiting(ticket);
    grantNext(pool, now);
}

// --- For operators

std::vector<SlotBroker::PoolStatus> SlotBroker::status(size_t most) const
{
    std::vector<PoolStatus> result;
    for (const auto& [name, pool] : m_pools) {
        PoolStatus one;
        one.pool = name;
        for (const auto& [id, server] : pool->servers) {
            one.servers += server.usable;
            one.slots += server.usable ? server.slots : 0;
            one.used += server.usable ? server.used : 0;
        }
        one.waiting = pool->waiting.size();
        one.expectedWait = pool->queue.expectedWait(PriorityClass::Interactive);
        result.push_back(std::move(one));
    }
    std::stable_sort(result.begin(), result.end(), [](const auto& a, const auto& b) { return a.waiting > b.waiting; });
    result.resize(std::min(most, result.size()));
    return result;
}

unsigned SlotBroker::usedAt(std::string_view pool, std::string_view server) const
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return 0;
    const auto at = found->second->servers.find(server);
    return at == found->second->servers.end() ? 0 : at->second.used;
}

}
