#include "decisions/SlotClient.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cumindale {

namespace {

    constexpr size_t maxCachedPools = 10'000;
    constexpr size_t maxEndedPools = 2'000; // more than the tickets that end while a message is on its way

    // Tickets of different incarnations differ: a late reply to a former one must not count for a new request.
    TicketId firstTicketOf(uint64_t incarnation)
    {
        constexpr unsigned ticketBits = 32; // of one incarnation
        constexpr uint64_t usedBits = 0x7fff'ffff; // tickets stay positive as signed numbers
        return ((incarnation & usedBits) << ticketBits) + 1;
    }

    bool contains(const std::vector<std::string>& names, std::string_view name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

}

SlotClient::SlotClient(SlotClientOptions options, std::string host, uint64_t incarnation)
    : m_options(options)
    , m_host(std::move(host))
    , m_incarnation(incarnation)
    , m_nextTicket(firstTicketOf(incarnation))
{
}

// --- Brokers

void SlotClient::setBrokers(std::shared_ptr<const BrokerList> list)
{
    if (!list || (m_brokers && list->edition <= m_brokers->edition))
        return;
    m_brokers = std::move(list);
    m_brokersOfPool.clear();
    m_listChanged = true;
}

void SlotClient::applyList()
{
    m_listChanged = false;
    const auto unlisted = [this](const std::string& broker) { return !find(broker); };
    std::erase_if(m_states, [&](const auto& entry) { return unlisted(entry.first); });
    std::erase_if(m_messages, [&](const auto& entry) { return unlisted(entry.first); });
    std::erase_if(m_stating, unlisted);

    std::vector<TicketId> moving;
    for (const auto& [ticket, ask] : m_asks) {
        if (unlisted(ask.broker))
            moving.push_back(ticket);
    }
    for (const TicketId ticket : moving) {
        m_asks.at(ticket).tried.clear();
        askOrGiveUp(ticket);
    }
    for (auto& [ticket, held] : m_held) {
        std::erase_if(held.brokers, unlisted);
        countAtAskedBroker(held);
    }
}

const Broker* SlotClient::find(std::string_view host) const
{
    if (!m_brokers)
        return nullptr;
    const auto& list = m_brokers->brokers;
    const auto found = std::lower_bound(
        list.begin(), list.end(), host, [](const Broker& broker, std::string_view name) { return broker.host < name; });
    return found != list.end() && found->host == host ? &*found : nullptr;
}

const Broker* SlotClient::choose(const std::string& pool, const std::vector<std::string>& tried) const
{
    if (!hasBrokers())
        return nullptr;
    auto cached = m_brokersOfPool.find(pool);
    if (cached == m_brokersOfPool.end()) {
        if (m_brokersOfPool.size() >= maxCachedPools)
            m_brokersOfPool.clear();
        cached = m_brokersOfPool.emplace(pool, brokersOf(m_brokers->brokers, pool, m_options.brokersAsked)).first;
    }
    for (const size_t index : cached->second) {
        const Broker& broker = m_brokers->brokers[index];
        const auto state = m_states.find(broker.host);
        const bool silent = state != m_states.end() && state->second.silentUntil > m_now;
        if (!silent && !contains(tried, broker.host))
            return &broker;
    }
    return nullptr;
}

void SlotClient::onSilence(const std::string& broker)
{
    BrokerState& state = m_states[broker];
    state.silentUntil = m_now + m_options.silencePeriod;
    state.wasSilent = true;
    std::vector<TicketId> moving;
    for (const auto& [ticket, ask] : m_asks) {
        if (ask.broker == broker && !ask.answered)
            moving.push_back(ticket);
    }
    for (const TicketId ticket : moving)
        moveOn(ticket);
    for (auto& [ticket, held] : m_held) {
        if (held.countedBy(broker))
            countAtAskedBroker(held);
    }
}

// Meanwhile others were asked for its pools, and it doesn't know of the slots that they granted.
void SlotClient::onSilenceEnded(const std::string& broker, BrokerState& state)
{
    state.silentUntil = {};
    if (!state.wasSilent)
        return;
    state.wasSilent = false;
    for (auto& [ticket, held] : m_held) {
        if (!held.countedBy(broker))
            countAtAskedBroker(held);
    }
    mustState(broker);
}

std::vector<std::string> SlotClient::silentBrokers(Instant now) const
{
    std::vector<std::string> silent;
    for (const auto& [broker, state] : m_states) {
        if (state.silentUntil > now)
            silent.push_back(broker);
    }
    return silent;
}

// --- Asks

TicketId SlotClient::ask(const std::string& pool, const SlotRequest& request, std::string preferred,
    std::vector<std::string> excluded, Instant now)
{
    m_now = std::max(m_now, now);
    const TicketId ticket = m_nextTicket++;
    Ask& ask = m_asks[ticket];
    ask.request = request;
    ask.pool = pool;
    ask.preferred = std::move(preferred);
    ask.excluded = std::move(excluded);
    if (request.deadline <= m_now)
        finish(ticket, { ticket, SlotOutcome::Kind::Refused, {}, Millis(0) });
    else
        askOrGiveUp(ticket);
    return ticket;
}

void SlotClient::cancel(TicketId ticket, Instant now)
{
    m_now = std::max(m_now, now);
    const auto ask = m_asks.find(ticket);
    if (ask == m_asks.end())
        return release(ticket, Millis(0), false, now);
    sendEnd(ask->second.broker, { ticket, ask->second.pool });
    rememberPool(ticket, ask->second.pool);
    m_timers.erase({ ask->second.due, ticket });
    m_asks.erase(ask);
}

void SlotClient::askOrGiveUp(TicketId ticket)
{
    Ask& ask = m_asks.at(ticket);
    const Broker* broker = choose(ask.pool, ask.tried);
    if (!broker)
        return finish(ticket, { ticket, SlotOutcome::Kind::NoBroker, {}, Millis(0) });
    ask.broker = broker->host;
    ask.queued = false;
    send(ticket, ask);
}

void SlotClient::send(TicketId ticket, Ask& ask)
{
    BrokerState& state = touch(ask.broker);
    if (state.wasSilent && state.silentUntil <= m_now)
        onSilenceEnded(ask.broker, state);
    const SlotRequest& request = ask.request;
    messageTo(ask.broker, ticket)
        .asks.push_back({ ticket, ask.pool, request.priority, request.rank, m_now - request.arrived,
            request.target - m_now, request.deadline - m_now, ask.preferred, ask.excluded, request.identity });
    ask.sentAt = m_now;
    ask.answered = false;
    m_timers.erase({ ask.due, ticket });
    ask.due = std::min(request.deadline, m_now + m_options.answerTimeout);
    m_timers.insert({ ask.due, ticket });
}

void SlotClient::moveOn(TicketId ticket)
{
    Ask& ask = m_asks.at(ticket);
    sendEnd(ask.broker, { ticket, ask.pool }); // it may have queued or granted the ask
    ask.tried.push_back(ask.broker);
    askOrGiveUp(ticket);
}

void SlotClient::onTimer(TicketId ticket)
{
    Ask& ask = m_asks.at(ticket);
    if (ask.request.deadline <= m_now) {
        sendEnd(ask.broker, { ticket, ask.pool });
        return finish(ticket, { ticket, SlotOutcome::Kind::Refused, {}, Millis(0) });
    }
    const bool messageLost = m_states[ask.broker].heardAt > ask.sentAt;
    if (ask.answered || (messageLost && ask.queued))
        send(ticket, ask);
    else if (messageLost)
        moveOn(ticket);
    else
        onSilence(std::string(ask.broker));
}

void SlotClient::finish(TicketId ticket, SlotOutcome outcome)
{
    const auto ask = m_asks.find(ticket);
    m_timers.erase({ ask->second.due, ticket });
    rememberPool(ticket, std::move(ask->second.pool));
    m_asks.erase(ask);
    m_outcomes.push_back(std::move(outcome));
}

// --- Replies

void SlotClient::onReplies(
    std::string_view broker, uint64_t incarnation, const std::vector<SlotReply>& replies, Instant now)
{
    m_now = std::max(m_now, now);
    if (!find(broker))
        return;
    const std::string name(broker);
    BrokerState& state = touch(name);
    state.heardAt = m_now;
    onSilenceEnded(name, state);
    if (state.incarnation && *state.incarnation != incarnation)
        mustState(name);
    state.incarnation = incarnation;
    for (const auto& reply : replies)
        onReply(name, reply);
}

void SlotClient::onReply(const std::string& broker, const SlotReply& reply)
{
    if (reply.kind == SlotReply::Kind::Granted)
        return onGranted(broker, reply);
    const auto found = m_asks.find(reply.ticket);
    if (found == m_asks.end() || found->second.broker != broker)
        return;
    if (reply.kind == SlotReply::Kind::Refused)
        return finish(reply.ticket, { reply.ticket, SlotOutcome::Kind::Refused, {}, reply.wait });
    if (reply.kind == SlotReply::Kind::NoServer)
        return finish(reply.ticket, { reply.ticket, SlotOutcome::Kind::NoBroker, {}, Millis(0) });
    Ask& ask = found->second;
    ask.answered = true;
    ask.queued = true;
    ask.tried.clear();
    m_timers.erase({ ask.due, reply.ticket });
    ask.due = std::min(ask.request.deadline, ask.sentAt + m_options.repeatInterval);
    m_timers.insert({ ask.due, reply.ticket });
}

void SlotClient::onGranted(const std::string& broker, const SlotReply& reply)
{
    const TicketId ticket = reply.ticket;
    if (const auto found = m_asks.find(ticket); found != m_asks.end()) {
        const Ask& ask = found->second;
        if (ask.broker != broker) {
            sendEnd(ask.broker, { ticket, ask.pool });
            mustState(broker); // an earlier end is on its way there
        }
        Held& held = m_held[ticket];
        held = { ask.pool, reply.server, { broker }, ask.request.deadline };
        countAtAskedBroker(held);
        return finish(ticket, { ticket, SlotOutcome::Kind::Granted, reply.server, Millis(0) });
    }
    if (const auto found = m_held.find(ticket); found != m_held.end()) {
        const Held& held = found->second;
        const bool granter = !held.brokers.empty() && held.brokers.front() == broker;
        if (!granter)
            sendEnd(broker, { ticket, held.pool });
        if (held.countedBy(broker) && (!granter || held.server != reply.server))
            mustState(broker);
        return;
    }
    // A slot of an unknown ticket becomes free by the statement.
    if (const auto ended = m_endedPools.find(ticket); ended != m_endedPools.end())
        sendEnd(broker, { ticket, ended->second });
    else
        mustState(broker);
}

// --- Slots in use

bool SlotClient::Held::countedBy(std::string_view broker) const { return contains(brokers, broker); }

TicketId SlotClient::useWithoutGrant(const std::string& pool, const std::string& server, Instant deadline, Instant now)
{
    m_now = std::max(m_now, now);
    const TicketId ticket = m_nextTicket++;
    Held& held = m_held[ticket];
    held = { pool, server, {}, deadline };
    countAtAskedBroker(held);
    return ticket;
}

void SlotClient::release(TicketId ticket, Millis took, bool refused, Instant now)
{
    m_now = std::max(m_now, now);
    const auto held = m_held.find(ticket);
    if (held == m_held.end())
        return;
    for (const auto& broker : held->second.brokers)
        sendEnd(broker, { ticket, held->second.pool, took, refused });
    rememberPool(ticket, std::move(held->second.pool));
    m_held.erase(held);
}

void SlotClient::countAtAskedBroker(Held& held)
{
    const Broker* broker = choose(held.pool, {});
    if (!broker || held.countedBy(broker->host))
        return;
    held.brokers.push_back(broker->host);
    mustState(broker->host);
}

void SlotClient::mustState(const std::string& broker) { touch(broker).mustState = true; }

std::vector<HeldSlot> SlotClient::heldAt(std::string_view broker) const
{
    std::vector<HeldSlot> slots;
    for (const auto& [ticket, held] : m_held) {
        if (held.countedBy(broker))
            slots.push_back({ ticket, held.pool, held.server, std::max(held.deadline - m_now, Millis(0)) });
    }
    return slots;
}

// An end names the pool, and a grant may come after the ticket has ended.
void SlotClient::rememberPool(TicketId ticket, std::string pool)
{
    m_endedPools[ticket] = std::move(pool);
    if (m_endedPools.size() > maxEndedPools)
        m_endedPools.erase(m_endedPools.begin());
}

// --- Messages

void SlotClient::advance(Instant now)
{
    m_now = std::max(m_now, now);
    if (m_listChanged)
        applyList();
    while (!m_timers.empty() && m_timers.begin()->at <= m_now)
        onTimer(m_timers.begin()->ticket);
    for (const auto& broker : m_stating) {
        BrokerState& state = m_states[broker];
        state.mustState |= state.statedAt + m_options.statementInterval <= m_now;
    }
}

Instant SlotClient::nextEvent() const
{
    if (m_listChanged)
        return m_now;
    Instant next = m_timers.empty() ? Instant::max() : m_timers.begin()->at;
    for (const auto& broker : m_stating) {
        const BrokerState& state = m_states.find(broker)->second;
        if (!state.mustState)
            next = std::min(next, state.statedAt + m_options.statementInterval);
    }
    return next;
}

SlotClient::BrokerState& SlotClient::touch(const std::string& broker)
{
    m_stating.insert(broker);
    BrokerState& state = m_states[broker];
    state.activeAt = m_now;
    return state;
}

// What an earlier call put into the message about the ticket no longer applies.
SlotMessage& SlotClient::messageTo(const std::string& broker, TicketId ticket)
{
    SlotMessage& message = m_messages[broker];
    std::erase_if(message.asks, [&](const SlotAsk& ask) { return ask.ticket == ticket; });
    std::erase_if(message.ends, [&](const SlotEnd& end) { return end.ticket == ticket; });
    return message;
}

void SlotClient::sendEnd(const std::string& broker, SlotEnd end)
{
    touch(broker);
    messageTo(broker, end.ticket).ends.push_back(std::move(end));
}

std::vector<AddressedMessage> SlotClient::takeMessages()
{
    for (auto broker = m_stating.begin(); broker != m_stating.end();) {
        BrokerState& state = m_states[*broker];
        const bool due = state.mustState || state.statedAt + m_options.statementInterval <= m_now;
        if (!due) {
            ++broker;
            continue;
        }
        auto slots = heldAt(*broker);
        // The broker ignores a statement about a slot that it granted a moment before, so the last one comes later.
        const bool last = slots.empty() && m_now >= state.activeAt + m_options.statementInterval;
        m_messages[*broker].held = std::move(slots);
        state.statedAt = m_now;
        state.mustState = false;
        broker = last ? m_stating.erase(broker) : std::next(broker);
    }
    std::vector<AddressedMessage> taken;
    for (auto& [host, message] : m_messages) {
        const Broker* broker = find(host);
        if (!broker)
            continue;
        message.sender = m_host;
        message.incarnation = m_incarnation;
        taken.push_back({ *broker, std::move(message) });
    }
    m_messages.clear();
    return taken;
}

std::vector<SlotOutcome> SlotClient::takeOutcomes() { return std::exchange(m_outcomes, {}); }

}
