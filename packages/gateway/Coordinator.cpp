#include "gateway/Coordinator.h"

#include "base/Log.h"
#include "decisions/ServerIdentity.h"
#include "resources/GrantTableCodec.h"
#include "resources/QuarantineCodec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>

namespace cumindale {

namespace asio = boost::asio;

// Sections: office, plans, orders, writes, balance, hosts.

namespace {

    constexpr Millis idleLook { 2'000 }; // out of office; the election wakes it
    constexpr Millis cutOffAfter { 1'000 }; // most servers silent for so long: another host does it better
    constexpr double centi = 100;
    // Of the requests a second that a server names: what is asked for its keys goes up and down.
    constexpr double usedOfLimit = 0.7;

}

Coordinator::Coordinator(asio::any_io_executor executor, const Clock& clock, const PlatformAdapter& adapter,
    CoordinatorOptions options, Store& store, PlatformView& view, Election& election, Metrics& metrics, TableSink sink)
    : m_executor(executor)
    , m_clock(clock)
    , m_adapter(adapter)
    , m_options(std::move(options))
    , m_store(store)
    , m_view(view)
    , m_election(election)
    , m_sink(std::move(sink))
    , m_peerBytes(metrics.counter("peers_bytes_sent"))
    , m_orders(metrics.counter("grant_orders"))
    , m_ordersFailed(metrics.counter("grant_orders_failed"))
    , m_writes(metrics.counter("store_writes_tables"))
    , m_moves(metrics.counter("key_moves_planned"))
    , m_crowdsTold(metrics.counter("server_crowds_told"))
    , m_changed(executor)
    , m_shares(m_options.shares, m_options.balance.requestMillis)
    , m_announcer(executor, clock, m_peerBytes)
    , m_office(m_options.office)
{
}

// --- Office

asio::awaitable<void> Coordinator::run()
{
    for (;;) {
        if (!inOffice()) {
            endTerm();
            co_await m_changed.wait(idleLook);
            continue;
        }
        if (m_term != m_election.term()) {
            endTerm();
            if (readyForTerm())
                beginTerm();
        }
        if (m_term)
            step();
        co_await m_changed.wait(m_options.look);
    }
}

// The view may know of a newer coordinator before the election's next word from the store: this host reports to that
// one from then on, and must have stopped.
bool Coordinator::inOffice() const { return m_election.holds() && m_view.leader().modRevision <= m_election.term(); }

bool Coordinator::readyForTerm() const { return m_view.revision() >= m_election.term() && m_view.rules(); }

void Coordinator::beginTerm()
{
    m_term = m_election.term();
    m_silentSince = m_clock.now();
    m_lastBalance = m_clock.now();
    m_listedAt = m_clock.now();
    m_office = LeadershipRules(m_options.office);
    m_office.setListedHosts(m_view.listedHosts());
    for (const auto& request : m_view.quarantine())
        m_crashes.restore(request);
    m_quarantineWritten = m_crashes.edition();
    logChange(
        LogLevel::Info, "coordination-begun", { { "term", m_term }, { "listedHosts", m_office.listedHosts().size() } });
}

void Coordinator::endTerm()
{
    if (!m_term)
        return;
    logChange(LogLevel::Info, "coordination-ended", { { "term", m_term } });
    m_term = 0;
    m_plans.clear();
    m_registrations.clear();
    m_formers.clear();
    m_loads.clear();
    m_servers.clear();
    m_sayLeaving.clear();
    m_shares.clear();
    m_crashes.clear();
    m_crashesEdition = 0;
    m_suspectsTold.clear();
    m_quarantinedTold.clear();
    m_hosts.clear();
    m_announcer.endOfOffice();
}

void Coordinator::step()
{
    const Instant now = m_clock.now();
    // Without the store's word another host may have been elected meanwhile. Renewals go on for a while, since the
    // store may be away for all; a new coordinator waits as long for holders that it can't reach.
    if (!m_office.mayAct(m_election.lastConfirmed(), now))
        return;
    rememberServers();
    ensurePlans();
    const auto known = servers();
    bool cutOff = false;
    for (auto& [service, plan] : m_plans) {
        const RoutedService* rules = m_view.rules()->service(service);
        plan->avoidWarmingUpServers(rules && rules->warmUp.isSet());
        plan->maintain(*known, now);
        for (auto& order : plan->due(now))
            send(std::move(order), service);
        logEvents(*plan);
        if (plan->deposed()) {
            logChange(LogLevel::Warning, "coordinator-refused", { { "term", m_term }, { "service", service } });
            m_election.abandon();
            endTerm();
            return;
        }
        cutOff |= plan->mostAreUnresponsive();
        publish(*plan);
    }
    overtakeUnanswered();
    if (!cutOff)
        m_silentSince = now;
    else if (now - m_silentSince > cutOffAfter) {
        logChange(LogLevel::Warning, "coordinator-cut-off", { { "term", m_term } });
        m_election.abandon();
        endTerm();
        return;
    }
    tellCrashes(now, {});
    writeWhatChanged();
    if (now - m_lastBalance >= m_options.balanceEvery)
        balance();
}

// --- Plans

void Coordinator::ensurePlans()
{
    const Instant now = m_clock.now();
    for (const auto& [name, service] : m_view.rules()->services()) {
        if (!service.keyed || m_plans.count(name))
            continue;
        const auto table = m_view.storedTable(name);
        if (!table && !allRegistered(name))
            continue;
        auto& plan = m_plans[name];
        plan = std::make_unique<GrantPlan>(name, m_options.grants, m_term);
        if (table) {
            plan->takeOver(*table, now);
            m_formers[name] = table->coordinator;
            // This host's own former term has ended here; what it had sent arrives soon or never.
            if (table->coordinator == m_options.host)
                onPreviousStopped(name, now, "it was this host");
        } else {
            plan->begin(now);
        }
    }
}

// When everything starts at once, servers register one after the other. Dealt to the first ones alone, the keys would
// have to move again at once, away from servers that are overloaded by then.
bool Coordinator::allRegistered(const std::string& service)
{
    const Instant now = m_clock.now();
    size_t count = 0;
    for (const auto& [id, server] : *m_view.servers())
        count += server.service == service;
    auto& seen = m_registrations[service];
    if (seen.count != count)
        seen = { count, now };
    return count && now - seen.since >= m_options.registrationPause;
}

void Coordinator::publish(GrantPlan& plan)
{
    if (m_announcer.hasPublished(plan.service(), plan.edition()))
        return;
    GrantTable table = tableOf(plan);
    if (table.ranges.empty() || table.ranges.front().holder.empty())
        return;
    m_announcer.publish(table);
    m_sink(std::move(table));
}

void Coordinator::onEvents(int64_t afterChange, const std::vector<WatchEvent>& events)
{
    std::vector<WatchEvent> others;
    for (const auto& event : events) {
        // Tables and the office are told in other ways.
        if (m_view.isExternalKey(event.value.key))
            others.push_back(event);
    }
    if (!others.empty())
        m_announcer.changed(afterChange, m_view.lastChange(), others, m_term != 0);
}

void Coordinator::logEvents(GrantPlan& plan)
{
    for (auto& event : plan.takeEvents()) {
        m_moves.add(event.what == "move-planned");
        logChange(LogLevel::Info, event.what,
            { { "service", plan.service() }, { "first", event.first }, { "last", event.last },
                { "server", event.server }, { "next", event.next }, { "fence", event.fence }, { "why", event.why },
                { "term", m_term } });
    }
}

// --- Orders

void Coordinator::rememberServers()
{
    for (const auto& [id, server] : *m_view.servers()) {
        ServerState& state = m_servers[id];
        state.address = server.address;
        state.port = server.port;
    }
}

void Coordinator::rememberFormerIncarnation(const std::string& server)
{
    const auto servers = m_view.servers();
    const RegisteredServer* later = registeredIncarnation(*servers, serverNameOf(server));
    if (!later)
        return;
    ServerState& state = m_servers[server];
    state.address = later->address;
    state.port = later->port;
}

std::shared_ptr<HttpClient> Coordinator::clientFor(const std::string& server)
{
    const auto known = m_servers.find(server);
    // A former incarnation of a registered server is asked to let go at that server: it holds nothing and says so at
    // once, where waiting for the former incarnation's hold would leave its keys without an owner for three seconds.
    if (known == m_servers.end() || !known->second.port)
        rememberFormerIncarnation(server);
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || !found->second.port)
        return nullptr;
    ServerState& state = found->second;
    constexpr size_t mostIdle = 2; // renewals of its ranges in turn, and a release that waits for work to end
    if (!state.client)
        state.client = std::make_shared<HttpClient>(m_executor, state.address, state.port, mostIdle);
    return state.client;
}

void Coordinator::send(GrantOrder order, const std::string& service)
{
    // A release waits at the server until its work has ended; grants for the same server must not wait for it.
    if (order.kind == GrantOrder::Kind::Release) {
        asio::co_spawn(m_executor, carryOut(std::move(order), m_term, service), asio::detached);
        return;
    }
    // Grants for one server go one after the other over one connection: sent at once they would open one for each
    // range, and most of these would not be kept.
    const std::string server = order.server;
    ServerState& state = m_servers[server];
    state.grants.emplace_back(std::move(order), service);
    if (!state.senders)
        startSender(server, state);
}

void Coordinator::startSender(const std::string& server, ServerState& state)
{
    ++state.senders;
    state.sentAt = m_clock.now();
    asio::co_spawn(m_executor, sendGrants(server, m_term), asio::detached);
}

// Answers to orders get lost now and then, and each holds its connection up until it is given up. The orders behind it
// must not wait so long: with half of the answers lost, a server's ranges would lapse one after the other.
void Coordinator::overtakeUnanswered()
{
    constexpr Millis answersWithin { 100 }; // most orders are answered within a few ms
    constexpr unsigned mostSenders = 6; // connections to a server that doesn't answer at all
    const Instant now = m_clock.now();
    for (auto& [server, state] : m_servers) {
        const bool stuck = state.senders && !state.grants.empty() && now - state.sentAt > answersWithin;
        if (stuck && state.senders < mostSenders)
            startSender(server, state);
    }
}

asio::awaitable<void> Coordinator::sendGrants(std::string server, int64_t term)
{
    while (term == m_term) {
        ServerState& state = m_servers[server];
        if (state.grants.empty()) {
            --state.senders;
            co_return;
        }
        auto next = std::move(state.grants.front());
        state.grants.pop_front();
        state.sentAt = m_clock.now();
        co_await carryOut(std::move(next.first), term, std::move(next.second));
    }
}

std::optional<uint64_t> Coordinator::fenceToSend(
    const GrantOrder& order, const std::string& service, bool newConnection)
{
    const auto plan = m_plans.find(service);
    return plan == m_plans.end() ? std::nullopt : plan->second->fenceToSend(order, newConnection);
}

asio::awaitable<void> Coordinator::carryOut(GrantOrder order, int64_t term, std::string service)
{
    m_orders.add();
    OrderAnswer answer { order.range, order.number };
    // Held here: the end of the term drops the servers while this order may still wait for its answer.
    const auto client = clientFor(order.server);
    if (client) {
        const bool release = order.kind == GrantOrder::Kind::Release;
        const Millis timeout = release ? m_options.releaseTimeout : m_options.grants.orderTimeout;
        HttpClient::CallMaker make = [&](bool newConnection) -> std::optional<HttpCall> {
            const auto fence = term == m_term ? fenceToSend(order, service, newConnection) : std::nullopt;
            if (!fence)
                return std::nullopt;
            order.fence = *fence;
            return m_adapter.callFor(order);
        };
        const HttpReply reply = co_await client->send(std::move(make), timeout);
        if (reply.arrived()) {
            answer.result = m_adapter.resultOf(order, reply);
            answer.handover = m_adapter.handoverIn(reply);
        } else {
            answer.result = reply.mayHaveArrived ? OrderResult::Unanswered : OrderResult::NotSent;
        }
    }
    if (term != m_term)
        co_return; // out of office meanwhile
    answer.endedAt = m_clock.now();
    if (answer.result != OrderResult::Done) {
        m_ordersFailed.add();
        logChange(LogLevel::Warning, "grant-order-failed",
            { { "service", service }, { "server", order.server }, { "first", order.first }, { "last", order.last },
                { "fence", order.fence }, { "kind", order.kind == GrantOrder::Kind::Grant ? "grant" : "release" },
                { "result", nameOf(answer.result) } });
    }
    const auto plan = m_plans.find(service);
    if (plan == m_plans.end())
        co_return;
    const uint64_t before = plan->second->edition();
    plan->second->onAnswer(answer);
    // A renewal changes nothing that can't wait for the next look. Looking over all ranges after each of them costs a
    // coordinator of hundreds of hosts more than everything else that it does.
    const bool moves = order.kind == GrantOrder::Kind::Release || plan->second->edition() != before;
    if (moves || plan->second->deposed())
        m_changed.notifyAll();
}

// --- Writes

namespace {

    // Built outside the coroutine: g++ 12 destroys lists of temporaries inside one twice.
    std::vector<Compare> conditionsFor(
        const Compare& office, const std::vector<GrantTable>& tables, const PlatformView& view)
    {
        std::vector<Compare> conditions { office };
        conditions.reserve(tables.size() + 1);
        for (const auto& table : tables) {
            const std::string key = grantTableKey(table.service);
            conditions.push_back({ key, view.modRevisionOf(key) });
        }
        return conditions;
    }

    std::vector<WriteOperation> writesOf(const std::vector<GrantTable>& tables,
        const std::set<std::string, std::less<>>& hosts, const std::optional<std::string>& quarantine)
    {
        std::vector<WriteOperation> writes;
        writes.reserve(tables.size() + 2);
        for (const auto& table : tables)
            writes.push_back({ grantTableKey(table.service), encodeGrantTable(table) });
        if (!hosts.empty())
            writes.push_back({ listedHostsKey(), encodeListedHosts(hosts) });
        if (quarantine)
            writes.push_back({ quarantineKey(), *quarantine });
        return writes;
    }

}

std::set<std::string, std::less<>> Coordinator::hostsToList() const
{
    std::set<std::string, std::less<>> hosts;
    for (const auto& [name, host] : m_hosts)
        hosts.insert(name);
    if (hosts == m_office.listedHosts())
        hosts.clear();
    return hosts;
}

void Coordinator::writeWhatChanged()
{
    if (m_writing)
        return;
    const Instant now = m_clock.now();
    Writing writing;
    for (const auto& [service, plan] : m_plans) {
        if (plan->needsWrite(now))
            writing.tables.push_back(tableOf(*plan));
    }
    // Hosts come in one after the other: their list is written with a table, or alone after a while.
    const bool overdue = now - m_listedAt >= m_options.listEvery;
    if (!writing.tables.empty() || overdue)
        writing.hosts = hostsToList();
    if (overdue)
        m_listedAt = now;
    if (m_crashes.edition() != m_quarantineWritten) {
        writing.quarantine = encodeQuarantine(m_crashes.quarantined(now), now, m_clock.unixMillis());
        writing.quarantineEdition = m_crashes.edition();
    }
    if (writing.tables.empty() && writing.hosts.empty() && !writing.quarantine)
        return;
    m_writing = true;
    asio::co_spawn(m_executor, write(std::move(writing), m_term), asio::detached);
}

// The revision at which all of it lies in the store, or 0. Where something else lies, the view learns its revision, so
// that the next write's conditions are right.
asio::awaitable<int64_t> Coordinator::readBack(std::vector<WriteOperation> writes)
{
    int64_t revision = 0;
    bool all = true;
    for (const auto& write : writes) {
        const RangeReply found = co_await m_store.range(write.key, false, m_options.storeTimeout);
        if (found.status != StoreStatus::Ok)
            co_return 0;
        const bool present = !found.values.empty();
        all = all && present && found.values.front().value == write.value;
        revision = present ? found.values.front().modRevision : 0;
        const auto stored = present ? decodeGrantTable(found.values.front().value) : std::nullopt;
        if (stored)
            m_view.recordStored(*stored, revision);
    }
    co_return all ? revision : 0;
}

asio::awaitable<void> Coordinator::write(Writing writing, int64_t term)
{
    const auto conditions = conditionsFor(m_election.fence(), writing.tables, m_view);
    const auto writes = writesOf(writing.tables, writing.hosts, writing.quarantine);
    m_writes.add();
    const TxnReply reply = co_await m_store.txn(conditions, writes, m_options.storeTimeout);
    int64_t revision = reply.status == StoreStatus::Ok && reply.succeeded ? reply.revision : 0;
    // The answer was lost, or a write whose answer was lost came through later: what lies there tells.
    if (!revision)
        revision = co_await readBack(writes);
    m_writing = false;
    if (term != m_term || !revision)
        co_return;
    const Instant now = m_clock.now();
    for (const auto& table : writing.tables) {
        m_view.recordWritten(table, revision);
        const auto plan = m_plans.find(table.service);
        if (plan != m_plans.end())
            plan->second->onWritten(table.edition.edition, now);
    }
    if (writing.quarantine)
        m_quarantineWritten = writing.quarantineEdition;
    if (!writing.hosts.empty()) {
        m_view.recordListed(writing.hosts, revision);
        m_office.setListedHosts(std::move(writing.hosts));
    }
    m_changed.notifyAll();
}

// --- Balance

namespace {

    std::string reasonOf(const BalanceMove& move)
    {
        if (move.heavyKey)
            return "a heavy key";
        return move.toEmptyServer ? "a new server" : "evenness";
    }

}

double Coordinator::meanLifeSeconds() const
{
    return static_cast<double>(m_options.loadHalfLife.count()) / 1000 / std::log(2.0);
}

double Coordinator::meanWorkMillis(const GrantPlan& plan) const
{
    double sum = 0;
    size_t measured = 0;
    for (const auto& [id, server] : *m_view.servers()) {
        const double work = m_shares.workMillis(id);
        if (server.service != plan.service() || work <= 0)
            continue;
        sum += work;
        ++measured;
    }
    return measured ? sum / static_cast<double>(measured) : m_options.balance.requestMillis;
}

std::vector<ServerCapacity> Coordinator::capacities(const GrantPlan& plan)
{
    const double mean = meanWorkMillis(plan);
    const Instant now = m_clock.now();
    const RoutedService* service = m_view.rules()->service(plan.service());
    const bool avoidWarmingUpServers = service && service->warmUp.isSet();
    std::vector<ServerCapacity> usable;
    const auto known = servers();
    for (const auto& [id, server] : *known) {
        if (server.service != plan.service() || server.draining() || plan.isUnresponsive(id))
            continue;
        if (avoidWarmingUpServers && server.warmingUp(now))
            continue;
        // Servers differ in speed: one that takes longer for its work gets less of it. Bounded, since few requests may
        // look slow or quick by chance.
        constexpr double slowest = 0.4;
        constexpr double fastest = 2;
        const double work = m_shares.workMillis(id);
        const double speed = work > 0 ? std::clamp(mean / work, slowest, fastest) : 1;
        double slots = speed * std::max(1U, server.slots);
        if (const auto limit = m_shares.rates().limitOf(id))
            slots = std::min(slots, usedOfLimit * *limit * mean / 1000);
        usable.push_back({ id, slots });
    }
    return usable;
}

void Coordinator::balance()
{
    const Instant now = m_clock.now();
    const double passed = static_cast<double>((now - m_lastBalance).count());
    m_lastBalance = now;
    for (auto& [service, plan] : m_plans) {
        KeyLoad& load = m_loads[service];
        load.buildPrefixSums();
        const auto ranges = plan->table().ranges;
        BalanceOptions options = m_options.balance;
        options.loadDecaySeconds = meanLifeSeconds();
        options.workMillis = meanWorkMillis(*plan);
        options.maxConcurrentMoves
            = std::max(options.maxConcurrentMoves, m_view.servers()->size() / m_options.serversPerMove);
        const auto moves = planBalance(ranges, load, capacities(*plan), options);
        expectCrowds(moves, load);
        for (const auto& move : moves)
            plan->move(move.first, move.last, move.to, reasonOf(move));
        load.decay(std::exp2(-passed / static_cast<double>(m_options.loadHalfLife.count())));
    }
    const auto registered = m_view.servers();
    m_shares.rates().retainServers([&](const std::string& server) { return registered->count(server) > 0; });
    std::erase_if(m_hosts, [&](const auto& entry) {
        if (now - entry.second.heard <= m_options.hostSilence)
            return false;
        m_announcer.forget(entry.first);
        m_shares.forget(entry.first);
        return true;
    });
}

// --- Hosts

bool Coordinator::standsBy(std::string_view host) const
{
    // The strongest ones; among equals the order of names, so that it is always the same ones.
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end() || host == m_options.host)
        return false;
    size_t before = 0;
    for (const auto& [name, other] : m_hosts) {
        const bool first
            = other.strength > found->second.strength || (other.strength == found->second.strength && name < host);
        before += name != m_options.host && first;
    }
    return before < m_options.standbys;
}

Millis Coordinator::reportInterval() const
{
    const double factor = static_cast<double>(m_hosts.size()) / static_cast<double>(m_options.hostsAtThat);
    return Millis(std::llround(static_cast<double>(m_options.reportEvery.count()) * std::max(1.0, factor)));
}

GrantTable Coordinator::tableOf(const GrantPlan& plan) const
{
    GrantTable table = plan.table();
    table.coordinator = m_options.host;
    return table;
}

void Coordinator::noteFormers(std::string_view reporter)
{
    const Instant now = m_clock.now();
    const auto formers = m_formers;
    for (const auto& [service, former] : formers) {
        // A report from the former coordinator's own host: it knows of this one, or has begun anew.
        if (reporter == former)
            onPreviousStopped(service, now, "its host reports here");
        else if (m_office.previousLostMajority())
            onPreviousStopped(service, m_office.previousStoppedBy(now), "half of the hosts report here");
    }
}

void Coordinator::onPreviousStopped(const std::string& service, Instant at, std::string_view why)
{
    logChange(LogLevel::Info, "former-coordinator-stopped",
        { { "service", service }, { "former", m_formers[service] }, { "why", why } });
    m_plans.at(service)->onPreviousStopped(at);
    m_formers.erase(service);
}

wire::HostAdvice Coordinator::onReport(const wire::HostReport& report)
{
    wire::HostAdvice advice;
    advice.coordinates = m_term != 0;
    advice.term = m_term;
    advice.storeSilentMillis = m_storeSilence.count();
    advice.lastChange = m_view.lastChange();
    advice.storeRevision = m_view.revision();
    if (!m_term)
        return advice;
    HostState& host = m_hosts[report.sender];
    host.heard = m_clock.now();
    m_office.onReport(report.sender, host.heard);
    noteFormers(report.sender);
    host.strength = report.strengthCenti / centi;
    if (report.sender != m_options.host)
        m_announcer.note(report);
    advice.standsBy = standsBy(report.sender);
    advice.reportMillis = static_cast<int32_t>(reportInterval().count());
    advice.hosts = static_cast<int32_t>(m_hosts.size());
    // Loads decay with a half-life, so that a steady rate of r adds up to r times this.
    const double meanLife = meanLifeSeconds();
    for (const auto& service : report.services) {
        KeyLoad& load = m_loads[service.serviceName];
        for (const auto& use : service.keys)
            load.add(static_cast<uint32_t>(use.key), use.busyMicros / 1000.0 / meanLife);
    }
    m_announcer.bringUp(report, m_view.tables(), advice);
    takeLeaving(report);
    takeRates(report, host.heard, advice);
    takeUses(report, host.heard, advice);
    takeCrashes(report, host.heard, advice);
    return advice;
}

std::shared_ptr<const GrantPlan::Servers> Coordinator::servers()
{
    auto registered = m_view.servers();
    std::erase_if(m_sayLeaving, [&](const std::string& id) {
        const auto server = registered->find(id);
        return server == registered->end() || server->second.leaving;
    });
    if (m_sayLeaving.empty() || m_storeSilence > m_options.storeAwayAfter)
        return registered;
    auto told = std::make_shared<GrantPlan::Servers>(*registered);
    for (const auto& id : m_sayLeaving)
        told->at(id).leaving = true;
    return told;
}

void Coordinator::takeLeaving(const wire::HostReport& report)
{
    const auto registered = m_view.servers();
    for (const auto& id : report.leaving) {
        if (!registered->count(id) || !m_sayLeaving.insert(id).second)
            continue;
        logChange(LogLevel::Info, "server-reported-leaving", { { "server", id }, { "reporter", report.sender } });
        m_changed.notifyAll();
    }
}

void Coordinator::takeRates(const wire::HostReport& report, Instant now, wire::HostAdvice& advice)
{
    GlobalRateLimiter& rates = m_shares.rates();
    const auto registered = m_view.servers();
    for (const auto& rate : report.rates) {
        if (!registered->count(rate.server))
            continue;
        const auto limit = rate.limited ? std::optional(rate.perSecond) : std::nullopt;
        const uint64_t before = rates.edition();
        rates.limitReported(rate.server, limit, now - Millis(rate.ageMillis), now);
        if (rates.edition() != before)
            logChange(LogLevel::Info, "server-limit-changed",
                { { "server", rate.server }, { "limited", rate.limited }, { "perSecond", rate.perSecond },
                    { "reporter", report.sender } });
    }
    advice.ratesEdition = editionInTerm(rates.edition());
    if (report.ratesKnown == advice.ratesEdition)
        return;
    rates.forEachLimit([&](const std::string& server, PerSecond limit) {
        wire::ServerRate& rate = advice.rates.emplace_back();
        rate.server = server;
        rate.limited = true;
        rate.perSecond = limit;
    });
}

void Coordinator::takeCrashes(const wire::HostReport& report, Instant now, wire::HostAdvice& advice)
{
    m_crashes.setReportInterval(reportInterval());
    for (const auto& crash : report.crashes)
        m_crashes.crashed({ crash.server, { crash.requests.begin(), crash.requests.end() } }, now);
    for (const int64_t request : report.answered)
        m_crashes.answered(static_cast<Fingerprint>(request));
    for (const int64_t request : report.released)
        m_crashes.release(static_cast<Fingerprint>(request));
    tellCrashes(now, report.sender);
    advice.crashesEdition = editionInTerm(m_crashesEdition);
    advice.suspects = m_suspectsTold;
    advice.quarantined = m_quarantinedTold;
}

int64_t Coordinator::editionInTerm(uint64_t edition) const
{
    constexpr int64_t editionsOfTerm = 1'000'000;
    return m_term * editionsOfTerm + static_cast<int64_t>(edition);
}

// At once: servers crash with each such request that is on its way.
void Coordinator::tellCrashes(Instant now, std::string_view reporter)
{
    const auto found = m_crashes.suspects(now);
    std::vector<int64_t> suspects(found.begin(), found.end());
    std::vector<int64_t> quarantined;
    for (const auto& request : m_crashes.quarantined(now))
        quarantined.push_back(static_cast<int64_t>(request.request));
    for (const auto& event : m_crashes.takeEvents())
        logChange(LogLevel::Warning, toString(event.kind),
            { { "fingerprint", fingerprintText(event.request) }, { "crashes", event.crashes },
                { "server", event.server }, { "reporter", reporter } });
    if (m_crashesEdition && suspects == m_suspectsTold && quarantined == m_quarantinedTold)
        return;
    // A data centre's loss makes hundreds of suspects within seconds: the lists change with each report then, and go
    // with the answers to reports only.
    constexpr Millis pause { 100 };
    constexpr size_t mostAtOnce = 64;
    if (now - m_crashesToldAt < pause)
        return; // the next look does it
    m_crashesToldAt = now;
    if (quarantined != m_quarantinedTold)
        logChange(LogLevel::Warning, "quarantine-changed",
            { { "requests", quarantined.size() }, { "suspects", suspects.size() }, { "reporter", reporter } });
    ++m_crashesEdition;
    m_suspectsTold = std::move(suspects);
    m_quarantinedTold = std::move(quarantined);
    if (m_suspectsTold.size() + m_quarantinedTold.size() <= mostAtOnce)
        m_announcer.crashes(editionInTerm(m_crashesEdition), m_suspectsTold, m_quarantinedTold);
    m_changed.notifyAll();
}

void Coordinator::takeUses(const wire::HostReport& report, Instant now, wire::HostAdvice& advice)
{
    m_shares.setHosts(m_hosts.size(), reportInterval());
    const auto servers = m_view.servers();
    std::vector<std::string> crowded;
    for (const auto& use : report.servers) {
        const auto known = servers->find(use.server);
        if (known == servers->end())
            continue;
        const RegisteredServer& server = known->second;
        m_shares.report(report.sender, use, server.slots, now);
        const auto plan = m_plans.find(server.service);
        if (use.workMicros > 0 && plan != m_plans.end())
            plan->second->onServedRequest(use.server, now);
        const bool keyed = plan != m_plans.end();
        auto share = m_shares.shareFor(report.sender, use.server, server.slots, keyed, now);
        if (!share)
            continue; // there is room: the host needs no share
        if (share->crowded && !m_shares.rates().isLimited(use.server))
            crowded.push_back(use.server);
        advice.shares.push_back(std::move(*share));
    }
    tellCrowded(crowded);
    giveSparePermits(report, now, advice);
}

// For servers without keys: a host has nothing there as long as others can do its work.
void Coordinator::giveSparePermits(const wire::HostReport& report, Instant now, wire::HostAdvice& advice)
{
    const auto servers = m_view.servers();
    m_shares.rates().forEachLimit([&](const std::string& id, PerSecond) {
        const auto known = servers->find(id);
        const bool named = std::any_of(
            report.servers.begin(), report.servers.end(), [&](const wire::ServerUse& use) { return use.server == id; });
        if (known == servers->end() || named || m_plans.count(known->second.service))
            return;
        auto share = m_shares.shareFor(report.sender, id, known->second.slots, false, now);
        if (share && share->permits)
            advice.shares.push_back(std::move(*share));
    });
}

void Coordinator::tellCrowded(std::span<const std::string> servers)
{
    const auto told = m_shares.toTell(servers, m_clock.now());
    if (told.empty())
        return;
    m_crowdsTold.add(told.size());
    m_announcer.crowded(told);
}

// A key that crowds its server crowds the next one as well: there nobody has a share yet, and each host's first request
// would come at once.
void Coordinator::expectCrowds(std::span<const BalanceMove> moves, const KeyLoad& load)
{
    std::vector<std::string> crowded;
    for (const auto& move : moves) {
        const auto server = m_view.servers()->find(move.to);
        if (server == m_view.servers()->end())
            continue;
        const double busyMillis = load.sumOver(move.first, move.last);
        if (m_shares.expectCrowd(move.to, server->second.slots, busyMillis, m_clock.now()))
            crowded.push_back(move.to);
    }
    tellCrowded(crowded);
}

}
