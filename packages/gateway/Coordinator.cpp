#include "gateway/Coordinator.h"

#include "base/Log.h"
#include "gateway/CoordinatorWrites.h"
#include "resources/GrantTableCodec.h"
#include "resources/QuarantineCodec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>

namespace cumindale {

namespace asio = boost::asio;

// Sections: leadership, plans, writes, balance, hosts. Orders: CoordinatorOrders.cpp; reports: CoordinatorReports.cpp.

namespace {

    constexpr Millis standbyPollInterval { 2'000 }; // while not the leader; the election also wakes the loop
    constexpr Millis isolationTimeout { 1'000 }; // give up leadership when most servers are unresponsive for this long
    // Balancing uses this fraction of the rate limit that a server names, since the request rate of its keys varies.
    constexpr double usableLimitFraction = 0.7;

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
    , m_tableSink(std::move(sink))
    , m_peerBytes(metrics.counter("peers_bytes_sent"))
    , m_orders(metrics.counter("grant_orders"))
    , m_ordersFailed(metrics.counter("grant_orders_failed"))
    , m_writes(metrics.counter("store_writes_tables"))
    , m_moves(metrics.counter("key_moves_planned"))
    , m_crowdedServersPublished(metrics.counter("server_crowds_told"))
    , m_wakeUp(executor)
    , m_shares(m_options.shares, m_options.balance.requestMillis)
    , m_standbys(m_options.host, m_options.standbys)
    , m_announcer(executor, clock, m_peerBytes,
          [&adapter](std::string_view key) { return adapter.itemOf(key) == StoreItem::Rules; })
    , m_snapshots(view, m_hosts, m_announcer)
    , m_leadership(m_options.leadership)
{
}

// --- Leadership

void Coordinator::wake()
{
    m_needsMaintenance = true;
    m_wakeUp.notifyAll();
}

asio::awaitable<void> Coordinator::run()
{
    for (;;) {
        if (!isLeader()) {
            endTerm();
            co_await m_wakeUp.wait(standbyPollInterval);
            continue;
        }
        if (m_term != m_election.term()) {
            endTerm();
            if (readyForTerm())
                beginTerm();
        }
        if (m_term)
            step();
        co_await m_wakeUp.wait(m_options.stepInterval);
    }
}

// The view may know of a newer coordinator before the election hears of it from the store. This host reports to the
// newer coordinator from then on, and must no longer act as one itself.
bool Coordinator::isLeader() const { return m_election.isLeader() && m_view.leader().modRevision <= m_election.term(); }

bool Coordinator::readyForTerm() const { return m_view.revision() >= m_election.term() && m_view.rules(); }

void Coordinator::beginTerm()
{
    m_term = m_election.term();
    m_needsMaintenance = true;
    m_mostServersAnsweredAt = m_clock.now();
    m_orderReach = ServerReach();
    m_lastBalance = m_clock.now();
    m_hostListCheckedAt = m_clock.now();
    m_termBegan = m_clock.now();
    m_leadership = LeadershipRules(m_options.leadership);
    m_actingBasis = ActingBasis::Store;
    m_leadership.setListedHosts(m_view.listedHosts());
    m_brokers.beginTerm(m_term, m_leadership.listedHosts(), m_clock.now());
    m_forwardTargets.beginTerm(m_clock.now());
    m_standbys.beginTerm(m_clock.now());
    for (const auto& request : m_view.quarantine())
        m_crashes.restore(request);
    m_writtenQuarantineEdition = m_crashes.edition();
    logChange(LogLevel::Info, "coordination-begun",
        { { "term", m_term }, { "listedHosts", m_leadership.listedHosts().size() } });
}

void Coordinator::endTerm()
{
    if (!m_term)
        return;
    logChange(LogLevel::Info, "coordination-ended", { { "term", m_term } });
    m_term = 0;
    m_plans.clear();
    m_registrations.clear();
    m_previousCoordinators.clear();
    m_loads.clear();
    m_servers.clear();
    m_sendersToStart.clear();
    m_knownServersEdition = 0;
    m_reportedLeaving.clear();
    m_shares.clear();
    m_crashes.clear();
    m_publishedCrashesEdition = 0;
    m_publishedSuspects.clear();
    m_publishedQuarantined.clear();
    m_hosts.clear();
    m_announcer.onTermEnded();
    m_snapshots.clear();
}

void Coordinator::step()
{
    const Instant now = m_clock.now();
    // Without confirmation by the store, another host may have been elected meanwhile. Renewals continue for a limited
    // time, since the store may be unavailable to all hosts. A new coordinator waits as long for holders that it can't
    // reach.
    if (!mayAct(now))
        return;
    updateServerAddresses();
    createMissingPlans();
    const bool maintain
        = std::exchange(m_needsMaintenance, false) || now - m_lastMaintenance >= m_options.maintenanceInterval;
    const auto known = servers();
    if (maintain)
        m_lastMaintenance = now;
    bool isolated = false;
    for (auto& [service, plan] : m_plans) {
        const RoutedService* rules = m_view.rules()->service(service);
        plan->avoidWarmingUpServers(rules && rules->warmUp.isSet());
        plan->setServerUseLifetime(timing().serverUseLifetime);
        if (maintain)
            plan->maintain(*known, now);
        for (auto& order : plan->due(now))
            send(std::move(order), service);
        logEvents(*plan);
        if (plan->deposed()) {
            logChange(LogLevel::Warning, "coordinator-refused", { { "term", m_term }, { "service", service } });
            m_election.stepDown();
            endTerm();
            return;
        }
        isolated |= plan->mostAreUnresponsive();
        // Also where there are too few servers for a majority, or a new coordinator has heard from none of them.
        isolated |= m_orderReach.suspicious(now);
        publish(*plan);
    }
    addSendersToStalledServers();
    if (mustStepDown(isolated, now)) {
        logChange(LogLevel::Warning, "coordinator-isolated", { { "term", m_term }, { "cutOff", m_cutOff } });
        m_election.stepDown();
        endTerm();
        return;
    }
    publishCrashes(now, {});
    m_snapshots.publishIfDue(now);
    writeChanges();
    if (now - m_lastBalance >= m_options.balanceInterval)
        balance();
}

bool Coordinator::mayAct(Instant now)
{
    const ActingBasis basis = m_leadership.basis(m_election.lastConfirmed(), now);
    m_basisCheckedAt = now;
    if (std::exchange(m_actingBasis, basis) != basis) {
        const LogLevel level = basis == ActingBasis::None ? LogLevel::Warning : LogLevel::Info;
        logChange(level, "acting-basis-changed",
            { { "term", m_term }, { "basis", nameOf(basis) },
                { "sinceStoreConfirmedMs", (now - m_election.lastConfirmed()).count() },
                { "recentReports", m_leadership.recentReports(now) },
                { "listedHosts", m_leadership.listedHosts().size() } });
    }
    return basis != ActingBasis::None;
}

void Coordinator::setCutOff(bool cutOff)
{
    if (cutOff && !m_cutOff)
        m_cutOffSince = m_clock.now();
    m_cutOff = cutOff;
}

// Another host can lead only if it reaches the servers.
bool Coordinator::mustStepDown(bool isolated, Instant now)
{
    constexpr Millis cutOffTimeout { 200 }; // for a path that is lost for a moment
    if (!isolated)
        m_mostServersAnsweredAt = now;
    const bool lostPath = m_cutOff && now - m_cutOffSince > cutOffTimeout;
    if (!lostPath && now - m_mostServersAnsweredAt <= isolationTimeout)
        return false;
    if (!m_hosts.anyOtherReachesServers(m_options.host))
        return false;
    m_steppedDownAt = now;
    return true;
}

bool Coordinator::hasSteppedDownRecently() const
{
    constexpr Millis recent { 5'000 };
    return m_steppedDownAt != Instant {} && m_clock.now() - m_steppedDownAt < recent;
}

// --- Plans

void Coordinator::createMissingPlans()
{
    const Instant now = m_clock.now();
    for (const auto& [name, service] : m_view.rules()->services()) {
        if (!service.keyed || m_plans.count(name))
            continue;
        const auto table = m_view.storedTable(name);
        if (!table && !registrationsSettled(name))
            continue;
        auto& plan = m_plans[name];
        plan = std::make_unique<GrantPlan>(name, m_options.grants, m_term);
        m_needsMaintenance = true;
        if (table) {
            plan->takeOver(*table, now);
            m_previousCoordinators[name] = table->coordinator;
            // The previous coordinator was this host, whose earlier term has ended: orders that it sent arrive soon or
            // never.
            if (table->coordinator == m_options.host)
                onPreviousStopped(name, now, "it was this host");
        } else {
            plan->begin(now);
        }
    }
}

// When a whole platform starts, its servers register one after the other. If the keys were assigned to the first
// servers alone, these would be overloaded and most keys would have to move again at once.
bool Coordinator::registrationsSettled(const std::string& service)
{
    const Instant now = m_clock.now();
    size_t count = 0;
    for (const auto& [id, server] : *m_view.servers())
        count += server.service == service;
    auto& seen = m_registrations[service];
    if (seen.count != count)
        seen = { count, now };
    return count && now - seen.since >= m_options.registrationQuietPeriod;
}

void Coordinator::publish(GrantPlan& plan)
{
    if (m_announcer.hasPublished(plan.service(), plan.edition()))
        return;
    GrantTable table = tableOf(plan);
    if (table.ranges.empty() || table.ranges.front().holder.empty())
        return;
    m_announcer.publish(table);
    m_tableSink(std::move(table));
}

void Coordinator::onEvents(int64_t afterChange, const std::vector<WatchEvent>& events)
{
    m_announcer.onStoreChanges(afterChange, m_view.lastChange(), events, m_term != 0);
}

void Coordinator::onNews(int64_t afterChange, int64_t lastChange, const std::vector<WatchEvent>& events, bool complete)
{
    if (m_term)
        return; // what the previous coordinator had sent when this one was elected
    if (complete)
        m_announcer.onStoreChanges(afterChange, lastChange, events, false);
    else
        m_announcer.onStoreChanges(lastChange, lastChange, {}, false);
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

// --- Writes

std::set<std::string, std::less<>> Coordinator::changedHostList() const
{
    auto hosts = m_hosts.names();
    if (hosts == m_leadership.listedHosts())
        hosts.clear();
    return hosts;
}

void Coordinator::writeChanges()
{
    if (m_writing)
        return;
    const Instant now = m_clock.now();
    PendingWrite writing;
    for (const auto& [service, plan] : m_plans) {
        if (plan->needsWrite(now))
            writing.tables.push_back(tableOf(*plan));
    }
    // New hosts report one after the other, so their list is written together with a table, or alone at intervals.
    const bool overdue = now - m_hostListCheckedAt >= m_options.hostListWriteInterval;
    if (!writing.tables.empty() || overdue) {
        writing.hosts = changedHostList();
        writing.fleetSize = fleetSizeToStore(
            m_view.storedFleetSize(), { m_hosts.size(), m_view.servers()->size() }, now - m_termBegan);
    }
    if (overdue)
        m_hostListCheckedAt = now;
    if (m_crashes.edition() != m_writtenQuarantineEdition) {
        writing.quarantine = encodeQuarantine(m_crashes.quarantined(now), now, m_clock.unixMillis());
        writing.quarantineEdition = m_crashes.edition();
    }
    if (writing.tables.empty() && writing.hosts.empty() && !writing.fleetSize && !writing.quarantine)
        return;
    m_writing = true;
    if (!writing.hosts.empty())
        m_leadership.onListWriteBegun(writing.hosts.size());
    asio::co_spawn(m_executor, write(std::move(writing), m_term), asio::detached);
}

// Returns a revision at which the store holds all the writes, or 0. For a table or list that differs, the view is given
// the one in the store and its revision, so that the conditions of the next write are right.
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
        if (present && write.key == listedHostsKey())
            m_view.recordListed(decodeListedHosts(found.values.front().value), revision);
        const auto stored = present ? decodeGrantTable(found.values.front().value) : std::nullopt;
        if (stored)
            m_view.recordStored(*stored, revision);
    }
    co_return all ? revision : 0;
}

asio::awaitable<void> Coordinator::write(PendingWrite writing, int64_t term)
{
    const auto conditions = conditionsOf(writing, m_election.fence(), m_view);
    const auto writes = operationsOf(writing);
    m_writes.add();
    const TxnReply reply = co_await m_store.txn(conditions, writes, m_options.storeTimeout);
    int64_t revision = reply.status == StoreStatus::Ok && reply.succeeded ? reply.revision : 0;
    // Either the answer was lost, or an earlier write without an answer was carried out late and changed the revisions.
    // Reading the keys back shows whether this write was carried out.
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
    if (writing.fleetSize)
        m_view.recordFleetSize(*writing.fleetSize);
    if (writing.quarantine)
        m_writtenQuarantineEdition = writing.quarantineEdition;
    if (!writing.hosts.empty()) {
        m_view.recordListed(writing.hosts, revision);
        m_leadership.setListedHosts(std::move(writing.hosts));
    }
    wake();
}

// --- Balance

namespace {

    std::string reasonOf(const BalanceMove& move)
    {
        if (move.heavyKey)
            return "a heavy key";
        return move.toEmptyServer ? "a new server" : "uneven load";
    }

}

double Coordinator::loadLifetimeSeconds() const
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
        // Servers differ in speed: a server that takes longer for a request gets less load. The factor is bounded,
        // since a small sample of requests may be slow or fast by chance.
        constexpr double minSpeed = 0.4;
        constexpr double maxSpeed = 2;
        const double work = m_shares.workMillis(id);
        const double speed = work > 0 ? std::clamp(mean / work, minSpeed, maxSpeed) : 1;
        double slots = speed * std::max(1U, server.slots);
        if (const auto limit = m_shares.rates().limitOf(id))
            slots = std::min(slots, usableLimitFraction * *limit * mean / 1000);
        usable.push_back({ id, slots });
    }
    return usable;
}

void Coordinator::balance()
{
    const Instant now = m_clock.now();
    const double elapsedMillis = static_cast<double>((now - m_lastBalance).count());
    m_lastBalance = now;
    for (auto& [service, plan] : m_plans) {
        KeyLoad& load = m_loads[service];
        load.buildPrefixSums();
        const auto ranges = plan->table().ranges;
        BalanceOptions options = m_options.balance;
        options.loadDecaySeconds = loadLifetimeSeconds();
        options.workMillis = meanWorkMillis(*plan);
        options.maxConcurrentMoves
            = std::max(options.maxConcurrentMoves, m_view.servers()->size() / m_options.serversPerConcurrentMove);
        const auto moves = planBalance(ranges, load, capacities(*plan), options);
        publishExpectedCrowding(moves, load);
        for (const auto& move : moves)
            plan->move(move.first, move.last, move.to, reasonOf(move));
        load.decay(std::exp2(-elapsedMillis / static_cast<double>(m_options.loadHalfLife.count())));
    }
    const auto registered = m_view.servers();
    m_shares.rates().retainServers([&](const std::string& server) { return registered->count(server) > 0; });
    for (const auto& host : m_hosts.removeSilent(timing().hostTimeout, now)) {
        m_announcer.removeHost(host);
        m_shares.forget(host);
    }
}

// --- Hosts

GrantTable Coordinator::tableOf(const GrantPlan& plan) const
{
    GrantTable table = plan.table();
    table.coordinator = m_options.host;
    return table;
}

void Coordinator::checkPreviousCoordinators(std::string_view reporter)
{
    const Instant now = m_clock.now();
    const auto previousCoordinators = m_previousCoordinators;
    for (const auto& [service, previous] : previousCoordinators) {
        // The previous coordinator's own host reports to this one: it knows of this coordinator, or has restarted.
        if (reporter == previous)
            onPreviousStopped(service, now, "its host reports to this coordinator");
        else if (m_leadership.previousLostMajority())
            onPreviousStopped(
                service, m_leadership.previousStoppedBy(now), "half of the hosts report to this coordinator");
    }
}

void Coordinator::onPreviousStopped(const std::string& service, Instant at, std::string_view why)
{
    logChange(LogLevel::Info, "previous-coordinator-stopped",
        { { "service", service }, { "former", m_previousCoordinators[service] }, { "why", why } });
    m_plans.at(service)->onPreviousStopped(at);
    m_previousCoordinators.erase(service);
}

// A key that overloads its server overloads the server to which it moves as well. No host has a share of the new server
// yet, and without an announcement the first requests of all hosts would arrive there at once.
void Coordinator::publishExpectedCrowding(std::span<const BalanceMove> moves, const KeyLoad& load)
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
    publishCrowded(crowded);
}

}
