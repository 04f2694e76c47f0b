#include "decisions/GrantPlan.h"

#include "decisions/ServerIdentity.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cumindale {

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
    case OrderResult::Withheld:
        return "withheld";
    }
    return "unanswered";
}

const RegisteredServer* registeredIncarnation(const GrantPlan::Servers& servers, std::string_view name)
{
    const auto found = servers.lower_bound(serverId(name, 0)); // ids sort by name, then by start time
    return found != servers.end() && serverNameOf(found->first) == name ? &found->second : nullptr;
}

GrantPlan::GrantPlan(std::string service, GrantTiming timing, int64_t term)
    : m_service(std::move(service))
    , m_timing(timing)
    , m_term(term)
    , m_lease(timing.leaseDuration)
    , m_wantedLease(timing.leaseDuration)
    , m_inheritedLease(timing.leaseDuration)
{
}

// --- Start

void GrantPlan::takeOver(const GrantTable& table, Instant now)
{
    m_highestFence = table.highestFence;
    m_inheritedLease = std::max(m_inheritedLease, table.longestLease);
    m_wantedLease = m_lease = m_inheritedLease; // the table in the store allows it
    for (const auto& range : table.ranges) {
        RangeState state;
        state.range = range;
        state.id = m_nextId++;
        state.range.fence = ++m_highestFence;
        if (state.range.moving()) {
            state.range.nextFence = ++m_highestFence;
            // The previous coordinator doesn't renew a range at its holder once the move is announced, but an earlier
            // grant may still be valid.
            state.inheritedLeaseUntil = inheritedLeaseExpiry(now + m_timing.orderTimeout);
            // The previous coordinator may have granted the range to the next server, and may still renew it there.
            state.nextMayHold = true;
            state.nextInheritedLeaseUntil
                = inheritedLeaseExpiry(now + m_timing.maxRenewalWithoutStore + m_timing.orderTimeout);
        } else {
            state.inheritedLeaseUntil
                = inheritedLeaseExpiry(now + m_timing.maxRenewalWithoutStore + m_timing.orderTimeout);
        }
        markChanged(state, Urgency::Announcement);
        m_ranges.push_back(std::move(state));
    }
}

void GrantPlan::begin(Instant)
{
    RangeState state;
    state.id = m_nextId++;
    m_ranges.push_back(std::move(state));
}

void GrantPlan::onPreviousStopped(Instant at)
{
    const Instant expiry = inheritedLeaseExpiry(at + m_timing.orderTimeout);
    for (auto& state : m_ranges) {
        state.inheritedLeaseUntil = std::min(state.inheritedLeaseUntil, expiry);
        state.nextInheritedLeaseUntil = std::min(state.nextInheritedLeaseUntil, expiry);
    }
}

// --- Answers

Instant GrantPlan::leaseEnd(Instant begin, Millis duration) const
{
    const auto longest = static_cast<int64_t>(static_cast<double>(duration.count()) * m_timing.clockDriftFactor);
    return begin + Millis(longest) + m_timing.margin;
}

// The lease only grows within a term, so this is late enough for earlier grants, too.
Instant GrantPlan::leaseExpiry(Instant arrivedBy) const { return leaseEnd(arrivedBy, m_lease); }

Instant GrantPlan::inheritedLeaseExpiry(Instant arrivedBy) const { return leaseEnd(arrivedBy, m_inheritedLease); }

void GrantPlan::lengthenLease()
{
    constexpr double renewalsInLease = 3;
    const double seconds = renewalsInLease * static_cast<double>(m_ranges.size()) / m_timing.maxRenewalsPerSecond;
    const Millis needed(static_cast<int64_t>(seconds * 1000));
    const Millis longest = std::max(m_timing.leaseDuration, m_timing.maxLeaseDuration);
    const Millis lease = std::clamp(needed, m_timing.leaseDuration, longest);
    // In steps, since each one is written to the store.
    constexpr double step = 1.25;
    if (static_cast<double>(lease.count()) < step * static_cast<double>(m_wantedLease.count()))
        return;
    m_wantedLease = lease;
    m_lastAnnouncementEdition = m_wantedLeaseEdition = ++m_edition;
}

Instant GrantPlan::holderExpiry(const RangeState& state) const
{
    return std::max({ state.confirmedLeaseUntil, state.unansweredLeaseUntil, state.inheritedLeaseUntil });
}

GrantPlan::RangeState* GrantPlan::find(uint64_t id)
{
    const auto found
        = std::find_if(m_ranges.begin(), m_ranges.end(), [&](const RangeState& state) { return state.id == id; });
    return found == m_ranges.end() ? nullptr : &*found;
}

void GrantPlan::recordAnswer(const std::string& server, OrderResult result, Instant endedAt)
{
    ServerContact& contact = m_contacts[server];
    const bool missed = result == OrderResult::Unanswered || result == OrderResult::NotSent;
    if (result == OrderResult::OtherServer) {
        contact.unresponsive = true; // the server has ended
    } else if (missed) {
        if (contact.lastAnswer == Instant {})
            contact.lastAnswer = endedAt; // counts from the first order
        ++contact.missedAnswers;
        const Millis timeout
            = isServing(server, endedAt) ? m_timing.unresponsiveAfterWhileServing : m_timing.unresponsiveAfter;
        contact.unresponsive
            = contact.missedAnswers >= m_timing.missesUntilUnresponsive && endedAt - contact.lastAnswer >= timeout;
    } else {
        contact.missedAnswers = 0;
        contact.lastAnswer = endedAt;
        contact.unresponsive = false;
    }
}

void GrantPlan::onServedRequest(const std::string& server, Instant at) { m_contacts[server].lastServed = at; }

bool GrantPlan::isServing(std::string_view server, Instant now) const
{
    const auto found = m_contacts.find(server);
    return found != m_contacts.end() && found->second.lastServed != Instant {}
    && now - found->second.lastServed <= m_serverUseLifetime;
}

void GrantPlan::onAnswer(const OrderAnswer& answer)
{
    RangeState* state = find(answer.range);
    if (!state || state->outstanding != answer.number)
        return; // the order was abandoned, and its possible effects were recorded then
    state->outstanding = 0;
    if (answer.result == OrderResult::Withheld)
        return;
    recordAnswer(state->outstandingServer, answer.result, answer.endedAt);
    if (answer.result == OrderResult::HigherFence) {
        m_deposed = true;
        recordEvent(*state, "coordinator-refused", "a server has seen a higher fence");
        return;
    }
    if (state->outstandingKind == GrantOrder::Kind::Release)
        onReleaseAnswer(*state, answer);
    else
        onGrantAnswer(*state, answer);
}

void GrantPlan::onGrantAnswer(RangeState& state, const OrderAnswer& answer)
{
    const bool toNext = state.range.moving() && state.outstandingServer == state.range.next && state.nextMayHold;
    if (answer.result == OrderResult::Unanswered) {
        Instant& until = toNext ? state.nextUnansweredLeaseUntil : state.unansweredLeaseUntil;
        until = std::max(until, leaseExpiry(answer.endedAt));
    }
    if (answer.result != OrderResult::Done)
        return;
    if (!toNext) {
        state.confirmed = true;
        state.inheritedLeaseUntil = {}; // the holder now refuses the lower fences of previous coordinators
        state.confirmedLeaseUntil = std::max(state.confirmedLeaseUntil, leaseExpiry(answer.endedAt));
        state.handover.clear();
        return;
    }
    const Instant unanswered = state.nextUnansweredLeaseUntil;
    state.range.holder = std::exchange(state.range.next, {});
    state.range.fence = std::exchange(state.range.nextFence, 0);
    state.sent = std::exchange(state.nextSent, {});
    state.range.holderState = HolderState::Releasing;
    state.confirmed = true;
    state.freedByHolder = false;
    state.released = false;
    state.nextMayHold = false;
    state.handover.clear();
    state.confirmedLeaseUntil = leaseExpiry(answer.endedAt);
    state.unansweredLeaseUntil = unanswered;
    state.inheritedLeaseUntil = {}; // the holder now refuses the lower fences of previous coordinators
    state.nextUnansweredLeaseUntil = {};
    state.nextInheritedLeaseUntil = {};
    markChanged(state, Urgency::Lazy);
    recordEvent(state, "keys-moved", {});
}

void GrantPlan::onReleaseAnswer(RangeState& state, const OrderAnswer& answer)
{
    if (!state.range.moving() || state.freedByHolder)
        return;
    if (answer.result == OrderResult::Done) {
        state.handover = answer.handover;
        state.released = true;
        state.confirmedLeaseUntil = {};
        // The server now refuses orders of previous coordinators: their fences are lower than that of this release.
        state.inheritedLeaseUntil = {};
        // An unanswered grant of this coordinator has the same fence and may still be carried out after the release.
        state.freedByHolder = state.unansweredLeaseUntil <= answer.endedAt;
    } else if (answer.result == OrderResult::OtherServer) {
        // The address belongs to another server: the holder has ended, and its leases with it.
        state.freedByHolder = true;
    }
}

// --- Planning

void GrantPlan::markChanged(RangeState& state, Urgency urgency)
{
    state.edition = ++m_edition;
    if (urgency == Urgency::Announcement)
        m_lastAnnouncementEdition = m_edition;
    raiseFenceLimit();
}

void GrantPlan::raiseFenceLimit()
{
    if (m_fenceLimit >= m_highestFence + m_timing.fenceReserve / 2)
        return;
    m_fenceLimit = m_highestFence + m_timing.fenceReserve;
    m_lastAnnouncementEdition = m_fenceLimitEdition = ++m_edition;
}

std::optional<uint64_t> GrantPlan::fenceToSend(const GrantOrder& order, bool newConnection)
{
    // A release has a connection of its own, which says nothing about that of the grants.
    if (order.kind == GrantOrder::Kind::Release)
        return order.fence;
    // A new connection may lead to a later incarnation. This applies to all ranges of the server, including those whose
    // next grants are sent once the connection exists.
    uint64_t& connections = m_contacts[order.server].connections;
    connections += newConnection;
    RangeState* state = find(order.range);
    if (!state || state->outstanding != order.number)
        return std::nullopt; // the order was abandoned in the meantime
    const bool toNext = state->range.moving() && state->outstandingServer == state->range.next;
    uint64_t& fence = toNext ? state->range.nextFence : state->range.fence;
    SentFence& sent = toNext ? state->nextSent : state->sent;
    if (sent.fence == fence && sent.connection != connections) {
        // A holder that must release the range gets no fence above the one announced for the next server.
        const bool releasing = state->range.moving() && !toNext;
        if (releasing || m_highestFence >= m_writtenFenceLimit)
            return std::nullopt;
        fence = ++m_highestFence;
        raiseFenceLimit();
    }
    sent = { fence, connections };
    return fence;
}

bool GrantPlan::needsWrite(Instant now) const
{
    return m_lastAnnouncementEdition > m_writtenEdition
        || (m_edition > m_writtenEdition && now - m_lastWrite >= m_timing.lazyWriteDelay);
}

void GrantPlan::recordEvent(const RangeState& state, std::string what, std::string why)
{
    m_events.push_back({ std::move(what), state.range.first, state.range.last, state.range.holder, state.range.next,
        state.range.moving() ? state.range.nextFence : state.range.fence, std::move(why) });
}

bool GrantPlan::isUnresponsive(std::string_view server) const
{
    const auto found = m_contacts.find(server);
    return found != m_contacts.end() && found->second.unresponsive;
}

bool GrantPlan::usable(const Servers& servers, const std::string& server) const
{
    const auto found = servers.find(server);
    return found != servers.end() && !found->second.draining() && found->second.service == m_service
        && !isUnresponsive(server);
}

bool GrantPlan::isAvoided(const RegisteredServer& server, Instant now) const
{
    return m_avoidWarmingUpServers && server.warmingUp(now);
}

bool GrantPlan::anyWarmedUp(const Servers& servers, Instant now) const
{
    return std::any_of(servers.begin(), servers.end(),
        [&](const auto& entry) { return usable(servers, entry.first) && !isAvoided(entry.second, now); });
}

std::string GrantPlan::laterIncarnationOf(const Servers& servers, const std::string& server) const
{
    const RegisteredServer* later = registeredIncarnation(servers, serverNameOf(server));
    return later && later->id != server && usable(servers, later->id) ? later->id : std::string();
}

// Chooses a server that is warming up only if there is no other, since it would get all requests for the keys at once.
std::string GrantPlan::bestTarget(const Servers& servers, const std::string& except, Instant now)
{
    if (!m_targets)
        m_targets = rankTargets(servers, now);
    return std::string(m_targets->best(except));
}

MoveTargets GrantPlan::rankTargets(const Servers& servers, Instant now) const
{
    std::map<std::string_view, uint32_t> keys;
    for (const auto& state : m_ranges)
        keys[state.range.moving() ? state.range.next : state.range.holder] += state.range.size();
    MoveTargets targets;
    for (const auto& [id, server] : servers) {
        const auto held = keys.find(id);
        if (usable(servers, id))
            targets.add(id, server.slots, held == keys.end() ? 0 : held->second, isAvoided(server, now));
    }
    return targets;
}

void GrantPlan::setNext(RangeState& state, const std::string& to, std::string why)
{
    if (m_targets)
        m_targets->moveKeys(state.range.moving() ? state.range.next : state.range.holder, to, state.range.size());
    state.range.next = to;
    state.range.nextFence = ++m_highestFence;
    state.range.holderState = HolderState::Releasing;
    state.nextMayHold = false;
    state.nextUnansweredLeaseUntil = {};
    state.nextInheritedLeaseUntil = {};
    state.nextSent = {};
    markChanged(state, Urgency::Announcement);
    recordEvent(state, "move-planned", std::move(why));
}

void GrantPlan::moveAway(RangeState& state, const Servers& servers, std::string why, Instant now)
{
    // A holder that has restarted gets its keys back. No other keys need to move, and the server refuses what a
    // previous coordinator may still send to it.
    std::string target = laterIncarnationOf(servers, state.range.holder);
    if (target.empty() || isAvoided(servers.at(target), now))
        target = bestTarget(servers, state.range.holder, now);
    if (target.empty())
        return; // no server can take the range; maintain() tries again
    state.freedByHolder = false;
    state.released = false;
    state.handover.clear();
    setNext(state, target, std::move(why));
}

void GrantPlan::assignInitialRanges(const Servers& servers)
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
    m_ranges.clear();
    // Each server gets several small ranges, assigned in turn, so that adjacent busy keys lie on several servers.
    const auto affordable = static_cast<unsigned>(m_timing.maxInitialRanges / usableServers.size());
    const unsigned parts = std::clamp(affordable, 1U, m_timing.initialRangesPerServer);
    const uint64_t units = uint64_t(slots) * parts;
    uint64_t slotsSoFar = 0;
    uint32_t first = 0;
    for (unsigned part = 0; part < parts; ++part) {
        for (const auto* server : usableServers) {
            slotsSoFar += std::max(1U, server->slots);
            const auto end = static_cast<uint32_t>(keySpaceSize * slotsSoFar / units);
            if (end == first)
                continue;
            RangeState state;
            state.id = m_nextId++;
            state.range = { first, end - 1, server->id, ++m_highestFence };
            markChanged(state, Urgency::Announcement);
            recordEvent(state, "initial-owner", {});
            m_ranges.push_back(std::move(state));
            first = end;
        }
    }
}

void GrantPlan::updateHolderState(RangeState& state, Instant now)
{
    HolderState holderState = state.range.holderState;
    const auto next = m_contacts.find(state.range.next);
    if (state.freedByHolder || state.released) {
        // A move that has already been delayed may take longer still: hosts must not keep callers waiting for it.
        const bool nextMisses = next != m_contacts.end() && next->second.missedAnswers;
        holderState = holderState == HolderState::Releasing && !nextMisses ? holderState : HolderState::Lost;
    } else if (isUnresponsive(state.range.holder)) {
        holderState = isServing(state.range.holder, now) ? HolderState::Unreachable : HolderState::Lost;
    }
    if (holderState == state.range.holderState)
        return;
    state.range.holderState = holderState;
    ++m_edition; // publishes the state to hosts; the move is already announced, so its orders needn't wait for a write
}

void GrantPlan::updateMove(RangeState& state, const Servers& servers, Instant now)
{
    updateHolderState(state, now);
    if (usable(servers, state.range.next) || state.outstanding)
        return;
    // A previous coordinator may or may not have granted the range to the next server, so both servers count as
    // possible holders. Only when the leases of the present holder have ended does the next server take its place
    // below.
    if (state.nextMayHold && !state.freedByHolder)
        return;
    const std::string target = bestTarget(servers, state.range.next, now);
    if (target.empty())
        return;
    if (state.nextMayHold) {
        // The next server may have been granted the range, so it becomes the holder that must release it.
        state.range.holder = state.range.next;
        state.range.fence = state.range.nextFence;
        state.sent = state.nextSent;
        state.confirmed = false;
        state.freedByHolder = false;
        state.released = false;
        state.confirmedLeaseUntil = {};
        state.unansweredLeaseUntil = state.nextUnansweredLeaseUntil;
        state.inheritedLeaseUntil = state.nextInheritedLeaseUntil;
    }
    setNext(state, target, "the next owner is gone");
}

std::string GrantPlan::reasonToMove(
    const Servers& servers, const KeyRange& range, bool isolated, bool anyWarmedUp, Instant now) const
{
    // A move pauses the keys, so it isn't worthwhile if the warm-up ends this soon.
    constexpr Millis minRemainingWarmUp { 600 };
    const auto holder = servers.find(range.holder);
    if (holder == servers.end())
        return "the owner is no longer registered";
    if (holder->second.leaving)
        return "the owner is leaving";
    if (holder->second.evacuated)
        return "the owner's data centre is evacuated";
    if (isUnresponsive(range.holder) && !isolated)
        return "the owner doesn't answer";
    if (anyWarmedUp && isAvoided(holder->second, now + minRemainingWarmUp))
        return "the owner is warming up";
    return {};
}

void GrantPlan::maintain(const Servers& servers, Instant now)
{
    if (m_ranges.size() == 1 && m_ranges.front().range.holder.empty() && !m_ranges.front().range.moving()) {
        assignInitialRanges(servers);
        lengthenLease();
        return;
    }
    std::erase_if(m_contacts, [&](const auto& entry) {
        return !servers.count(entry.first)
            && std::none_of(m_ranges.begin(), m_ranges.end(), [&](const RangeState& state) {
                   return state.range.holder == entry.first || state.range.next == entry.first;
               });
    });
    const bool isolated = mostAreUnresponsive();
    const bool warm = m_avoidWarmingUpServers && anyWarmedUp(servers, now);
    m_targets.reset();
    for (auto& state : m_ranges) {
        if (state.range.moving()) {
            updateMove(state, servers, now);
            continue;
        }
        std::string why = reasonToMove(servers, state.range, isolated, warm, now);
        if (!why.empty())
            moveAway(state, servers, std::move(why), now);
        if (state.range.moving())
            updateHolderState(state, now);
    }
    m_targets.reset(); // it refers to `servers`
    mergeNeighbours();
    lengthenLease();
}

void GrantPlan::mergeNeighbours()
{
    for (size_t i = 0; i + 1 < m_ranges.size();) {
        RangeState& left = m_ranges[i];
        RangeState& right = m_ranges[i + 1];
        const auto settled = [&](const RangeState& state) {
            return !state.range.moving() && state.confirmed && !state.outstanding && announced(state);
        };
        if (!settled(left) || !settled(right) || left.range.holder != right.range.holder
            || left.range.fence != right.range.fence) {
            ++i;
            continue;
        }
        left.range.last = right.range.last;
        left.confirmedLeaseUntil = std::max(left.confirmedLeaseUntil, right.confirmedLeaseUntil);
        left.unansweredLeaseUntil = std::max(left.unansweredLeaseUntil, right.unansweredLeaseUntil);
        left.orderedAt = std::min(left.orderedAt, right.orderedAt);
        markChanged(left, Urgency::Lazy);
        m_ranges.erase(m_ranges.begin() + static_cast<ptrdiff_t>(i) + 1);
    }
}

bool GrantPlan::move(uint32_t first, uint32_t last, const std::string& to, std::string why)
{
    const auto found = std::find_if(m_ranges.begin(), m_ranges.end(),
        [&](const RangeState& state) { return state.range.first <= first && last <= state.range.last; });
    if (found == m_ranges.end() || found->range.moving() || found->outstanding || !found->confirmed
        || !announced(*found) || found->range.holder == to)
        return false;
    // All parts keep the holder, the fence and the state of the grant; only the middle part moves.
    const RangeState whole = *found;
    std::vector<RangeState> parts;
    const auto addPart = [&](uint32_t from, uint32_t until) {
        RangeState part = whole;
        part.range.first = from;
        part.range.last = until;
        part.id = m_nextId++;
        markChanged(part, Urgency::Lazy);
        parts.push_back(std::move(part));
        return parts.size() - 1;
    };
    if (whole.range.first < first)
        addPart(whole.range.first, first - 1);
    const size_t middle = addPart(first, last);
    if (last < whole.range.last)
        addPart(last + 1, whole.range.last);
    parts[middle].freedByHolder = false;
    parts[middle].released = false;
    parts[middle].handover.clear();
    setNext(parts[middle], to, std::move(why));
    const auto at = m_ranges.erase(found);
    m_ranges.insert(at, std::make_move_iterator(parts.begin()), std::make_move_iterator(parts.end()));
    return true;
}

// --- Orders

GrantOrder GrantPlan::makeOrder(
    RangeState& state, GrantOrder::Kind kind, const std::string& server, uint64_t fence, Instant now)
{
    state.outstanding = m_nextOrder++;
    state.outstandingKind = kind;
    state.outstandingServer = server;
    state.orderedAt = now;
    GrantOrder order;
    order.kind = kind;
    order.range = state.id;
    order.number = state.outstanding;
    order.server = server;
    order.first = state.range.first;
    order.last = state.range.last;
    order.fence = fence;
    order.leaseDuration = m_lease;
    if (kind == GrantOrder::Kind::Grant)
        order.handover = state.handover;
    return order;
}

Millis GrantPlan::renewalInterval() const
{
    const double seconds = static_cast<double>(m_ranges.size()) / m_timing.renewalsPerSecond;
    const Millis longest = std::max(m_timing.maxRenewInterval, m_lease / 3);
    return std::clamp(Millis(static_cast<int64_t>(seconds * 1000)), m_timing.minRenewInterval, longest);
}

std::optional<GrantOrder> GrantPlan::renewalOrder(RangeState& state, Instant now)
{
    if (state.range.holder.empty() || state.outstanding)
        return std::nullopt;
    const auto contact = m_contacts.find(state.range.holder);
    const bool retrySoon = !state.confirmed || (contact != m_contacts.end() && contact->second.missedAnswers);
    if (now - state.orderedAt < (retrySoon ? m_timing.retryInterval : renewalInterval())
        && state.orderedAt != Instant {})
        return std::nullopt;
    return makeOrder(state, GrantOrder::Kind::Grant, state.range.holder, state.range.fence, now);
}

std::optional<GrantOrder> GrantPlan::moveOrder(RangeState& state, Instant now)
{
    if (state.outstanding && state.outstandingKind == GrantOrder::Kind::Grant)
        return std::nullopt; // the effect of the grant is not known yet
    const bool retriedRecently
        = now - state.orderedAt < m_timing.retryInterval && state.outstandingServer == state.range.holder;
    if (!state.freedByHolder && now >= holderExpiry(state)) {
        state.freedByHolder = true;
        if (state.outstandingKind == GrantOrder::Kind::Release)
            state.outstanding = 0; // abandons the release: the leases that it would end have expired
        recordEvent(state, "leases-expired", "without an answer from the owner");
    }
    if (state.outstanding)
        return std::nullopt;
    if (!state.freedByHolder) {
        if (state.released || now < state.announcedAt + m_timing.releaseDelay || retriedRecently)
            return std::nullopt;
        return makeOrder(state, GrantOrder::Kind::Release, state.range.holder, state.range.fence, now);
    }
    if (state.nextMayHold && now - state.orderedAt < m_timing.retryInterval)
        return std::nullopt;
    state.nextMayHold = true;
    return makeOrder(state, GrantOrder::Kind::Grant, state.range.next, state.range.nextFence, now);
}

std::vector<GrantOrder> GrantPlan::due(Instant now)
{
    std::vector<GrantOrder> orders;
    if (m_deposed)
        return orders;
    for (auto& state : m_ranges) {
        std::optional<GrantOrder> order;
        if (state.range.moving()) {
            if (announced(state))
                order = moveOrder(state, now);
        } else if (announced(state) || state.confirmed) {
            // A range that has just moved is renewed before its table is written. The move was announced, and the new
            // owner must not lose the range while the store is unavailable.
            order = renewalOrder(state, now);
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
    table.longestLease = m_wantedLease;
    table.ranges.reserve(m_ranges.size());
    for (const auto& state : m_ranges)
        table.ranges.push_back(state.range);
    return table;
}

void GrantPlan::onWritten(uint64_t edition, Instant now)
{
    for (auto& state : m_ranges) {
        if (state.edition > m_writtenEdition && state.edition <= edition)
            state.announcedAt = now;
    }
    m_writtenEdition = std::max(m_writtenEdition, edition);
    m_lastWrite = now;
    if (edition >= m_fenceLimitEdition)
        m_writtenFenceLimit = m_fenceLimit;
    if (edition >= m_wantedLeaseEdition)
        m_lease = m_wantedLease;
}

// --- Inspection

std::vector<GrantEvent> GrantPlan::takeEvents() { return std::exchange(m_events, {}); }

bool GrantPlan::mostAreUnresponsive() const
{
    if (std::none_of(m_contacts.begin(), m_contacts.end(), [](const auto& entry) { return entry.second.unresponsive; }))
        return false; // the usual case; avoids counting thousands of holders on each call
    std::set<std::string_view> holders;
    for (const auto& state : m_ranges)
        holders.insert(state.range.holder);
    const auto unresponsive = std::count_if(
        holders.begin(), holders.end(), [&](std::string_view holder) { return isUnresponsive(holder); });
    return holders.size() > 2 && static_cast<size_t>(unresponsive) * 2 > holders.size();
}

}
