#include "decisions/GrantPlan.h"

#include "decisions/ServerIdentity.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cumindale {

// Sections: beginning, answers, planning, orders, looking.

std::string_view nameOf(OrderResult result)
{
    switch (result) {
    case OrderResult::Done:
        return "done";
    case OrderResult::HigherFence:
        return "higher-fence";
    case OrderResult::OtherServer:
        return "other-server";
    case OrderResult::Rejected:
        return "rejected";
    case OrderResult::Unanswered:
        return "unanswered";
    case OrderResult::NotSent:
        return "not-sent";
    }
    return "unanswered";
}

const RegisteredServer* registeredUnder(const GrantPlan::Servers& servers, std::string_view name)
{
    const auto found = servers.lower_bound(serverId(name, 0)); // ids sort by name, then start
    return found != servers.end() && serverNameOf(found->first) == name ? &found->second : nullptr;
}

GrantPlan::GrantPlan(std::string service, GrantTiming timing, int64_t term)
    : m_service(std::move(service))
    , m_timing(timing)
    , m_term(term)
{
}

// --- Beginning

void GrantPlan::takeOver(const GrantTable& table, Instant now)
{
    m_highestFence = table.highestFence;
    for (const auto& range : table.ranges) {
        Item item;
        item.range = range;
        item.id = m_nextId++;
        item.range.fence = ++m_highestFence;
        if (item.range.moving()) {
            item.range.nextFence = ++m_highestFence;
            // The former coordinator renews nothing that it has announced as moving; what it sent before may still
            // hold.
            item.formerUntil = lapseOf(now + m_timing.orderTimeout);
            // It may have granted the range to the next server already, and renew it there.
            item.nextOrdered = true;
            item.nextFormerUntil = lapseOf(now + m_timing.renewsWithoutStore + m_timing.orderTimeout);
        } else {
            item.formerUntil = lapseOf(now + m_timing.renewsWithoutStore + m_timing.orderTimeout);
        }
        touch(item, Urgency::Announcement);
        m_items.push_back(std::move(item));
    }
}

void GrantPlan::begin(Instant)
{
    Item item;
    item.id = m_nextId++;
    m_items.push_back(std::move(item));
}

void GrantPlan::formerStopped(Instant at)
{
    const Instant lapse = lapseOf(at + m_timing.orderTimeout);
    for (auto& item : m_items) {
        item.formerUntil = std::min(item.formerUntil, lapse);
        item.nextFormerUntil = std::min(item.nextFormerUntil, lapse);
    }
}

// --- Answers

Instant GrantPlan::lapseOf(Instant arrivedBy) const
{
    const auto longest = static_cast<int64_t>(static_cast<double>(m_timing.hold.count()) * m_timing.slowClock);
    return arrivedBy + Millis(longest) + m_timing.margin;
}

Instant GrantPlan::freeAt(const Item& item) const
{
    return std::max({ item.holdsUntil, item.unansweredUntil, item.formerUntil });
}

GrantPlan::Item* GrantPlan::find(uint64_t id)
{
    const auto found = std::find_if(m_items.begin(), m_items.end(), [&](const Item& item) { return item.id == id; });
    return found == m_items.end() ? nullptr : &*found;
}

void GrantPlan::noteAnswer(const std::string& server, OrderResult result, Instant endedAt)
{
    Answers& answers = m_answers[server];
    const bool missed = result == OrderResult::Unanswered || result == OrderResult::NotSent;
    if (result == OrderResult::OtherServer) {
        answers.silent = true; // it has ended
    } else if (missed) {
        if (answers.last == Instant {})
            answers.last = endedAt; // counted from the first order
        ++answers.misses;
        const Millis silence = serves(server, endedAt) ? m_timing.silenceWhileServing : m_timing.silence;
        answers.silent = answers.misses >= m_timing.missesUntilSuspect && endedAt - answers.last >= silence;
    } else {
        answers.misses = 0;
        answers.last = endedAt;
        answers.silent = false;
    }
}

void GrantPlan::served(const std::string& server, Instant at) { m_answers[server].served = at; }

bool GrantPlan::serves(std::string_view server, Instant now) const
{
    const auto found = m_answers.find(server);
    return found != m_answers.end() && found->second.served != Instant {}
    && now - found->second.served <= m_timing.servingWithin;
}

void GrantPlan::onAnswer(const OrderAnswer& answer)
{
    Item* item = find(answer.range);
    if (!item || item->outstanding != answer.number)
        return; // an order that was given up: its effects were counted when it was
    item->outstanding = 0;
    noteAnswer(item->outstandingServer, answer.result, answer.endedAt);
    if (answer.result == OrderResult::HigherFence) {
        m_deposed = true;
        note(*item, "coordinator-refused", "a server has seen a higher fence");
        return;
    }
    if (item->outstandingKind == GrantOrder::Kind::Release)
        onReleaseAnswer(*item, answer);
    else
        onGrantAnswer(*item, answer);
}

void GrantPlan::onGrantAnswer(Item& item, const OrderAnswer& answer)
{
    const bool toNext = item.range.moving() && item.outstandingServer == item.range.next && item.nextOrdered;
    if (answer.result == OrderResult::Unanswered) {
        Instant& until = toNext ? item.nextHoldsUntil : item.unansweredUntil;
        until = std::max(until, lapseOf(answer.endedAt));
    }
    if (answer.result != OrderResult::Done)
        return;
    if (!toNext) {
        item.confirmed = true;
        item.formerUntil = {}; // its holder has seen a higher fence than any of a former coordinator
        item.holdsUntil = std::max(item.holdsUntil, lapseOf(answer.endedAt));
        item.handover.clear();
        return;
    }
    const Instant unanswered = item.nextHoldsUntil;
    item.range.holder = std::exchange(item.range.next, {});
    item.range.fence = std::exchange(item.range.nextFence, 0);
    item.sent = std::exchange(item.nextSent, {});
    item.range.holderState = HolderState::LettingGo;
    item.confirmed = true;
    item.holderDone = false;
    item.released = false;
    item.nextOrdered = false;
    item.handover.clear();
    item.holdsUntil = lapseOf(answer.endedAt);
    item.unansweredUntil = unanswered;
    item.formerUntil = {}; // its holder has seen a higher fence than any of a former coordinator
    item.nextHoldsUntil = {};
    item.nextFormerUntil = {};
    touch(item, Urgency::Lazy);
    note(item, "keys-moved", {});
}

void GrantPlan::onReleaseAnswer(Item& item, const OrderAnswer& answer)
{
    if (!item.range.moving() || item.holderDone)
        return;
    if (answer.result == OrderResult::Done) {
        item.handover = answer.handover;
        item.released = true;
        item.holdsUntil = {};
        // A former coordinator's orders carry lower fences than this release: the server refuses them from now on.
        item.formerUntil = {};
        // An own grant without an answer may still be carried out after the release, with the same fence.
        item.holderDone = item.unansweredUntil <= answer.endedAt;
    } else if (answer.result == OrderResult::OtherServer) {
        item.holderDone = true; // its address was given away: it has ended, and its grants with it
    }
}

// --- Planning

void GrantPlan::touch(Item& item, Urgency urgency)
{
    item.edition = ++m_edition;
    if (urgency == Urgency::Announcement)
        m_announcing = m_edition;
    raiseFenceLimit();
}

void GrantPlan::raiseFenceLimit()
{
    if (m_fenceLimit >= m_highestFence + m_timing.fencesAhead / 2)
        return;
    m_fenceLimit = m_highestFence + m_timing.fencesAhead;
    m_announcing = m_limitEdition = ++m_edition;
}

std::optional<uint64_t> GrantPlan::fenceToSend(const GrantOrder& order, bool newConnection)
{
    // Whoever answers behind a new connection may be a later incarnation. That goes for all ranges of the server, also
    // where their next grants find this connection made already.
    uint64_t& connections = m_answers[order.server].connections;
    connections += newConnection;
    if (order.kind == GrantOrder::Kind::Release)
        return order.fence;
    Item* item = find(order.range);
    if (!item || item->outstanding != order.number)
        return std::nullopt; // given up meanwhile
    const bool toNext = item->range.moving() && item->outstandingServer == item->range.next;
    uint64_t& fence = toNext ? item->range.nextFence : item->range.fence;
    SentFence& sent = toNext ? item->nextSent : item->sent;
    if (sent.fence == fence && sent.connection != connections) {
        // A holder that is to let go gets no fence above the one that its successor was promised.
        const bool lettingGo = item->range.moving() && !toNext;
        if (lettingGo || m_highestFence >= m_writtenLimit)
            return std::nullopt;
        fence = ++m_highestFence;
        raiseFenceLimit();
    }
    sent = { fence, connections };
    return fence;
}

bool GrantPlan::needsWrite(Instant now) const
{
    return m_announcing > m_written || (m_edition > m_written && now - m_lastWrite >= m_timing.lazyWrite);
}

void GrantPlan::note(const Item& item, std::string what, std::string why)
{
    m_events.push_back({ std::move(what), item.range.first, item.range.last, item.range.holder, item.range.next,
        item.range.moving() ? item.range.nextFence : item.range.fence, std::move(why) });
}

bool GrantPlan::isSilent(std::string_view server) const
{
    const auto found = m_answers.find(server);
    return found != m_answers.end() && found->second.silent;
}

bool GrantPlan::usable(const Servers& servers, const std::string& server) const
{
    const auto found = servers.find(server);
    return found != servers.end() && !found->second.draining() && found->second.service == m_service
        && !isSilent(server);
}

bool GrantPlan::spared(const RegisteredServer& server, Instant now) const
{
    return m_sparesWarmingUp && server.warmingUp(now);
}

bool GrantPlan::anyWarm(const Servers& servers, Instant now) const
{
    return std::any_of(servers.begin(), servers.end(),
        [&](const auto& entry) { return usable(servers, entry.first) && !spared(entry.second, now); });
}

std::string GrantPlan::laterIncarnationOf(const Servers& servers, const std::string& server) const
{
    const RegisteredServer* later = registeredUnder(servers, serverNameOf(server));
    return later && later->id != server && usable(servers, later->id) ? later->id : std::string();
}

// A server that is warming up only if no other is there: it would get its keys' requests at once.
std::string GrantPlan::bestTarget(const Servers& servers, const std::string& except, Instant now) const
{
    std::map<std::string_view, uint32_t> keys;
    for (const auto& item : m_items)
        keys[item.range.moving() ? item.range.next : item.range.holder] += item.range.size();
    std::string best;
    double least = 0;
    bool bestIsWarm = false;
    for (const auto& [id, server] : servers) {
        if (id == except || !usable(servers, id))
            continue;
        const double load = keys[id] / static_cast<double>(std::max(1U, server.slots));
        const bool warm = !spared(server, now);
        if (best.empty() || (warm && !bestIsWarm) || (warm == bestIsWarm && load < least)) {
            best = id;
            least = load;
            bestIsWarm = warm;
        }
    }
    return best;
}

void GrantPlan::setNext(Item& item, const std::string& to, std::string why)
{
    item.range.next = to;
    item.range.nextFence = ++m_highestFence;
    item.range.holderState = HolderState::LettingGo;
    item.nextOrdered = false;
    item.nextHoldsUntil = {};
    item.nextFormerUntil = {};
    item.nextSent = {};
    touch(item, Urgency::Announcement);
    note(item, "move-planned", std::move(why));
}

void GrantPlan::moveAway(Item& item, const Servers& servers, std::string why, Instant now)
{
    // A holder that has started again gets its keys back: no others move, and what a former coordinator may still send
    // to it is refused there.
    std::string target = laterIncarnationOf(servers, item.range.holder);
    if (target.empty() || spared(servers.at(target), now))
        target = bestTarget(servers, item.range.holder, now);
    if (target.empty())
        return; // nobody to take it; asked again at the next look
    item.holderDone = false;
    item.released = false;
    item.handover.clear();
    setNext(item, target, std::move(why));
}

void GrantPlan::spreadFirst(const Servers& servers)
{
    std::vector<const RegisteredServer*> usableServers;
    uint32_t slots = 0;
    for (const auto& [id, server] : servers) {
        if (usable(servers, id)) {
            usableServers.push_back(&server);
            slots += std::max(1U, server.slots);
        }
    }
    if (usableServers.empty())
        return;
    m_items.clear();
    // Several small parts for each, dealt in turn: a stretch of busy keys then lies on several servers at once.
    const auto affordable = static_cast<unsigned>(m_timing.firstRanges / usableServers.size());
    const unsigned parts = std::clamp(affordable, 1U, m_timing.firstParts);
    const uint64_t units = uint64_t(slots) * parts;
    uint64_t before = 0;
    uint32_t first = 0;
    for (unsigned part = 0; part < parts; ++part) {
        for (const auto* server : usableServers) {
            before += std::max(1U, server->slots);
            const auto end = static_cast<uint32_t>(numberedKeys * before / units);
            if (end == first)
                continue;
            Item item;
            item.id = m_nextId++;
            item.range = { first, end - 1, server->id, ++m_highestFence };
            touch(item, Urgency::Announcement);
            note(item, "first-owner", {});
            m_items.push_back(std::move(item));
            first = end;
        }
    }
}

void GrantPlan::noteHolderState(Item& item, Instant now)
{
    HolderState state = item.range.holderState;
    const auto next = m_answers.find(item.range.next);
    if (item.holderDone || item.released) {
        // What had to be waited for so far may take longer still: hosts don't keep their callers waiting for it.
        const bool nextMisses = next != m_answers.end() && next->second.misses;
        state = state == HolderState::LettingGo && !nextMisses ? state : HolderState::Lost;
    } else if (isSilent(item.range.holder)) {
        state = serves(item.range.holder, now) ? HolderState::Unreachable : HolderState::Lost;
    }
    if (state == item.range.holderState)
        return;
    item.range.holderState = state;
    ++m_edition; // hosts are told; the announcement of the move stands, and its orders needn't wait for a write
}

void GrantPlan::maintainMoving(Item& item, const Servers& servers, Instant now)
{
    noteHolderState(item, now);
    if (usable(servers, item.range.next) || item.outstanding)
        return;
    // A former coordinator may have granted it to the next server, or not yet: both count until the holder surely holds
    // nothing. Only then does the next server take the holder's place below.
    if (item.nextOrdered && !item.holderDone)
        return;
    const std::string target = bestTarget(servers, item.range.next, now);
    if (target.empty())
        return;
    if (item.nextOrdered) {
        // It may have been granted the range: from now on it counts as the holder that must let go.
        item.range.holder = item.range.next;
        item.range.fence = item.range.nextFence;
        item.sent = item.nextSent;
        item.confirmed = false;
        item.holderDone = false;
        item.released = false;
        item.holdsUntil = {};
        item.unansweredUntil = item.nextHoldsUntil;
        item.formerUntil = item.nextFormerUntil;
    }
    setNext(item, target, "the next owner is gone");
}

std::string GrantPlan::reasonToLeave(
    const Servers& servers, const KeyRange& range, bool cutOff, bool anyWarm, Instant now) const
{
    // What is left of a warm-up when a move would have ended is soon over, and the move itself is a pause.
    constexpr Millis worthMoving { 600 };
    const auto holder = servers.find(range.holder);
    if (holder == servers.end())
        return "the owner is no longer registered";
    if (holder->second.leaving)
        return "the owner is leaving";
    if (holder->second.evacuated)
        return "the owner's data centre is evacuated";
    if (isSilent(range.holder) && !cutOff)
        return "the owner doesn't answer";
    if (anyWarm && spared(holder->second, now + worthMoving))
        return "the owner is warming up";
    return {};
}

void GrantPlan::maintain(const Servers& servers, Instant now)
{
    if (m_items.size() == 1 && m_items.front().range.holder.empty() && !m_items.front().range.moving()) {
        spreadFirst(servers);
        return;
    }
    std::erase_if(m_answers, [&](const auto& entry) {
        return !servers.count(entry.first) && std::none_of(m_items.begin(), m_items.end(), [&](const Item& item) {
            return item.range.holder == entry.first || item.range.next == entry.first;
        });
    });
    const bool cutOff = mostAreSilent();
    const bool warm = m_sparesWarmingUp && anyWarm(servers, now);
    for (auto& item : m_items) {
        if (item.range.moving()) {
            maintainMoving(item, servers, now);
            continue;
        }
        std::string why = reasonToLeave(servers, item.range, cutOff, warm, now);
        if (!why.empty())
            moveAway(item, servers, std::move(why), now);
        if (item.range.moving())
            noteHolderState(item, now);
    }
    join();
}

void GrantPlan::join()
{
    for (size_t i = 0; i + 1 < m_items.size();) {
        Item& left = m_items[i];
        Item& right = m_items[i + 1];
        const auto settled = [&](const Item& item) {
            return !item.range.moving() && item.confirmed && !item.outstanding && announced(item);
        };
        if (!settled(left) || !settled(right) || left.range.holder != right.range.holder
            || left.range.fence != right.range.fence) {
            ++i;
            continue;
        }
        left.range.last = right.range.last;
        left.holdsUntil = std::max(left.holdsUntil, right.holdsUntil);
        left.unansweredUntil = std::max(left.unansweredUntil, right.unansweredUntil);
        left.orderedAt = std::min(left.orderedAt, right.orderedAt);
        touch(left, Urgency::Lazy);
        m_items.erase(m_items.begin() + static_cast<ptrdiff_t>(i) + 1);
    }
}

bool GrantPlan::move(uint32_t first, uint32_t last, const std::string& to, std::string why)
{
    const auto found = std::find_if(m_items.begin(), m_items.end(),
        [&](const Item& item) { return item.range.first <= first && last <= item.range.last; });
    if (found == m_items.end() || found->range.moving() || found->outstanding || !found->confirmed || !announced(*found)
        || found->range.holder == to)
        return false;
    // The parts keep the holder, the fence and what is known of the grant; only the middle one moves.
    const Item whole = *found;
    std::vector<Item> parts;
    const auto addPart = [&](uint32_t from, uint32_t until) {
        Item part = whole;
        part.range.first = from;
        part.range.last = until;
        part.id = m_nextId++;
        touch(part, Urgency::Lazy);
        parts.push_back(std::move(part));
        return parts.size() - 1;
    };
    if (whole.range.first < first)
        addPart(whole.range.first, first - 1);
    const size_t middle = addPart(first, last);
    if (last < whole.range.last)
        addPart(last + 1, whole.range.last);
    parts[middle].holderDone = false;
    parts[middle].released = false;
    parts[middle].handover.clear();
    setNext(parts[middle], to, std::move(why));
    const auto at = m_items.erase(found);
    m_items.insert(at, std::make_move_iterator(parts.begin()), std::make_move_iterator(parts.end()));
    return true;
}

// --- Orders

GrantOrder GrantPlan::makeOrder(
    Item& item, GrantOrder::Kind kind, const std::string& server, uint64_t fence, Instant now)
{
    item.outstanding = m_nextOrder++;
    item.outstandingKind = kind;
    item.outstandingServer = server;
    item.orderedAt = now;
    GrantOrder order;
    order.kind = kind;
    order.range = item.id;
    order.number = item.outstanding;
    order.server = server;
    order.first = item.range.first;
    order.last = item.range.last;
    order.fence = fence;
    order.hold = m_timing.hold;
    if (kind == GrantOrder::Kind::Grant)
        order.handover = item.handover;
    return order;
}

Millis GrantPlan::renewalInterval() const
{
    const double seconds = static_cast<double>(m_items.size()) / m_timing.renewalsPerSecond;
    return std::clamp(Millis(static_cast<int64_t>(seconds * 1000)), m_timing.renewEvery, m_timing.renewAtLeastEvery);
}

std::optional<GrantOrder> GrantPlan::steadyOrder(Item& item, Instant now)
{
    if (item.range.holder.empty() || item.outstanding)
        return std::nullopt;
    const auto answers = m_answers.find(item.range.holder);
    const bool quick = !item.confirmed || (answers != m_answers.end() && answers->second.misses);
    if (now - item.orderedAt < (quick ? m_timing.retryEvery : renewalInterval()) && item.orderedAt != Instant {})
        return std::nullopt;
    return makeOrder(item, GrantOrder::Kind::Grant, item.range.holder, item.range.fence, now);
}

std::optional<GrantOrder> GrantPlan::movingOrder(Item& item, Instant now)
{
    if (item.outstanding && item.outstandingKind == GrantOrder::Kind::Grant)
        return std::nullopt; // its effects are not known yet
    const bool pausing = now - item.orderedAt < m_timing.retryEvery && item.outstandingServer == item.range.holder;
    if (!item.holderDone && now >= freeAt(item)) {
        item.holderDone = true;
        if (item.outstandingKind == GrantOrder::Kind::Release)
            item.outstanding = 0; // the release is given up: what it would end has run out
        note(item, "hold-ended", "without an answer from the owner");
    }
    if (item.outstanding)
        return std::nullopt;
    if (!item.holderDone) {
        if (item.released || now < item.announcedAt + m_timing.announce || pausing)
            return std::nullopt;
        return makeOrder(item, GrantOrder::Kind::Release, item.range.holder, item.range.fence, now);
    }
    if (item.nextOrdered && now - item.orderedAt < m_timing.retryEvery)
        return std::nullopt;
    item.nextOrdered = true;
    return makeOrder(item, GrantOrder::Kind::Grant, item.range.next, item.range.nextFence, now);
}

std::vector<GrantOrder> GrantPlan::due(Instant now)
{
    std::vector<GrantOrder> orders;
    if (m_deposed)
        return orders;
    for (auto& item : m_items) {
        std::optional<GrantOrder> order;
        if (item.range.moving()) {
            if (announced(item))
                order = movingOrder(item, now);
        } else if (announced(item) || item.confirmed) {
            // A range that has just moved is renewed before its table is written: the move was announced, and with
            // the store away the new owner must not lose it.
            order = steadyOrder(item, now);
        }
        if (order)
            orders.push_back(std::move(*order));
    }
    return orders;
}

GrantTable GrantPlan::table() const
{
    GrantTable table;
    table.service = m_service;
    table.edition = { m_term, m_edition };
    table.highestFence = m_fenceLimit;
    table.ranges.reserve(m_items.size());
    for (const auto& item : m_items)
        table.ranges.push_back(item.range);
    return table;
}

void GrantPlan::onWritten(uint64_t edition, Instant now)
{
    for (auto& item : m_items) {
        if (item.edition > m_written && item.edition <= edition)
            item.announcedAt = now;
    }
    m_written = std::max(m_written, edition);
    m_lastWrite = now;
    if (edition >= m_limitEdition)
        m_writtenLimit = m_fenceLimit;
}

// --- Looking

std::vector<GrantEvent> GrantPlan::takeEvents() { return std::exchange(m_events, {}); }

bool GrantPlan::mostAreSilent() const
{
    if (std::none_of(m_answers.begin(), m_answers.end(), [](const auto& entry) { return entry.second.silent; }))
        return false; // as a rule; counting some thousand holders at each look costs more
    std::set<std::string_view> holders;
    for (const auto& item : m_items)
        holders.insert(item.range.holder);
    const auto silent
        = std::count_if(holders.begin(), holders.end(), [&](std::string_view holder) { return isSilent(holder); });
    return holders.size() > 2 && static_cast<size_t>(silent) * 2 > holders.size();
}

}
