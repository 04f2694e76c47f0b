#include "control/AssignerDriver.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "decisions/TableCodec.h"
#include "resources/ResourceCodec.h"
#include "resources/RosterCodec.h"

#include <algorithm>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr Millis stepInterval { 30 };
    constexpr Millis callTimeout { 3000 };
    constexpr Millis hostListInterval { 500 };
    // A host not heard from for longer isn't added to the roster, and its observations of servers are ignored.
    constexpr Millis hostTimeout { 1000 };

    AssignerOptions assignerOptions(const Settings& settings)
    {
        AssignerOptions options;
        options.gate = { settings.timing.lease, settings.timing.driftMargin };
        return options;
    }

    // Built outside the coroutine, because g++ 12 miscompiles initializer lists of temporaries inside coroutines.
    std::vector<Compare> leaderAndTargetUnchanged(Compare leader, Compare target)
    {
        return { std::move(leader), std::move(target) };
    }

    std::vector<WriteOperation> oneWrite(const std::string& key, const std::string& value)
    {
        return { { key, value } };
    }

    PlacementConstraint resolve(const PlacementResource& placement)
    {
        PlacementConstraint constraint { placement.rule, placement.keys.empty(), {}, placement.servers,
            placement.dataCentres };
        for (const auto& key : placement.keys)
            constraint.points.push_back(pointOfKey(key));
        std::sort(constraint.points.begin(), constraint.points.end());
        return constraint;
    }

}

AssignerDriver::AssignerDriver(const Clock& clock, const Settings& settings, Store& store, HostList& hostList,
    ClusterView& view, Election& election, PeerMesh& mesh, LoadAggregator& loads, Metrics& metrics, ViewSink sink)
    : m_clock(clock)
    , m_settings(settings)
    , m_store(store)
    , m_hostList(hostList)
    , m_view(view)
    , m_election(election)
    , m_mesh(mesh)
    , m_loadAggregator(loads)
    , m_sink(std::move(sink))
    , m_writes(metrics.counter("store_writes_assigner"))
    , m_reads(metrics.counter("store_reads_assigner"))
    , m_slicesReassigned(metrics.counter("slices_given_owner"))
{
}

asio::awaitable<void> AssignerDriver::run()
{
    for (;;) {
        if (m_election.mayAct())
            co_await step();
        else if (m_term) {
            m_term = 0;
            m_services.clear();
            m_roster.reset();
        }
        co_await sleepFor(stepInterval);
    }
}

asio::awaitable<void> AssignerDriver::step()
{
    if (m_term != m_election.term()) {
        m_term = m_election.term();
        m_services.clear();
        m_roster
            = std::make_unique<RosterAssigner>(GateOptions { m_settings.timing.lease, m_settings.timing.driftMargin });
    }
    const Instant now = m_clock.now();
    const HostReports reports = m_mesh.reports(now);
    co_await stepRoster(now, reports);
    if (!m_view.roster()->version)
        co_return;
    const auto resources = m_view.resources();
    for (const auto& [name, service] : resources->services) {
        if (!m_election.mayAct() || m_term != m_election.term())
            co_return;
        co_await stepService(service, m_clock.now(), m_mesh.reports(m_clock.now()));
    }
}

Millis AssignerDriver::longestWork() const
{
    Millis longest { 0 };
    for (const auto& [name, table] : m_view.tables())
        longest = std::max(longest, table->inFlightWorkLimit);
    return longest;
}

asio::awaitable<void> AssignerDriver::stepRoster(Instant now, const HostReports& reports)
{
    RosterView view;
    view.longestWork = longestWork();
    const std::string& self = m_settings.host.name;
    for (const auto& [name, member] : m_liveHosts) {
        const auto report = reports.find(name);
        const bool heard = name == self || m_mesh.heardSince(name, now - hostTimeout);
        if (heard && report != reports.end() && report->second.counts)
            view.live.push_back(member);
    }
    for (const auto& member : m_view.roster()->members) {
        const auto lastListed = m_lastListedAt.find(member.name);
        const bool listed
            = lastListed != m_lastListedAt.end() && now - lastListed->second <= m_settings.timing.hostListLag;
        if (m_hostListRead && !listed && member.name != self && !m_mesh.heardSince(member.name, now - hostTimeout))
            view.hostsToRemove.insert(member.name);
    }
    const auto next = m_roster->next(*m_view.roster(), view, reports, now);
    if (!next)
        co_return;
    ViewChange change;
    const auto apply = [this, next](int64_t modRevision) { return m_view.applyRoster(*next, modRevision); };
    const bool committed = co_await commit(rosterKey(), encodeRoster(*next), change, apply);
    if (committed)
        logChange(
            LogLevel::Info, "roster-committed", { { "version", next->version }, { "members", next->members.size() } });
    m_sink(change);
}

asio::awaitable<void> AssignerDriver::stepService(
    const ServiceResource& service, Instant now, const HostReports& reports)
{
    auto& assigner = m_services[service.name];
    if (!assigner)
        assigner = std::make_unique<ServiceAssigner>(assignerOptions(m_settings));
    const auto known = m_view.table(service.name);
    SliceTable current;
    if (known)
        current = *known;
    current.service = service.name;
    ServiceView view = serviceView(service, current, now, reports);
    if (!known && view.placement.servers.empty())
        co_return;
    const auto next = assigner->next(current, std::move(view), *m_view.roster(), reports, now);
    if (!next)
        co_return;
    const std::string encoded = encodeTable(*next);
    if (encoded.size() > maxTableBytes) {
        logChange(LogLevel::Error, "table-too-large", { { "service", service.name }, { "bytes", encoded.size() } });
        co_return;
    }
    ViewChange change;
    const auto apply = [this, next](int64_t modRevision) { return m_view.applyTable(*next, modRevision); };
    const bool committed = co_await commit(tableKey(service.name), encoded, change, apply);
    if (committed) {
        m_slicesReassigned.add(next->nextFence - current.nextFence);
        logChange(LogLevel::Info, "table-committed",
            { { "service", service.name }, { "version", next->version }, { "slices", next->slices.size() },
                { "newOwners", next->nextFence - current.nextFence } });
    }
    m_sink(change);
}

asio::awaitable<bool> AssignerDriver::commit(
    std::string key, std::string value, ViewChange& change, std::function<ViewChange(int64_t)> apply)
{
    const auto conditions = leaderAndTargetUnchanged(m_election.fence(), { key, m_view.modRevisionOf(key) });
    const auto writes = oneWrite(key, value);
    m_writes.add();
    const TxnReply reply = co_await m_store.txn(conditions, writes, callTimeout);
    if (reply.status == StoreStatus::Ok && reply.succeeded) {
        change = apply(reply.revision);
        co_return true;
    }
    // The store gave no answer, or another host has written the key. The view takes over the stored value. If only the
    // answer to this host's write was lost, that value is the one written, and the next step continues from it.
    m_reads.add();
    const RangeReply found = co_await m_store.range(key, false, callTimeout);
    if (found.status == StoreStatus::Ok) {
        std::vector<WatchEvent> events;
        for (const auto& entry : found.values)
            events.push_back({ false, entry });
        change = m_view.applyEvents(0, events);
    }
    co_return false;
}

bool AssignerDriver::isLost(const std::string& server, const HostReports& reports, Instant now) const
{
    std::vector<Observation> observations;
    for (const auto& [host, report] : reports) {
        const bool heard = host == m_settings.host.name || m_mesh.heardSince(host, now - hostTimeout);
        const auto observation = report.sights.find(server);
        if (heard && observation != report.sights.end())
            observations.push_back({ host, observation->second });
    }
    return isServerLost(*m_view.roster(), observations);
}

double AssignerDriver::warmupFraction(const ServerResource& server, bool usable, Instant now)
{
    if (!usable) {
        m_usableSince[server.name] = now;
        return 0;
    }
    const auto since = m_usableSince.find(server.name);
    if (since == m_usableSince.end() || !server.coldStart.count())
        return 1;
    return std::clamp(
        static_cast<double>((now - since->second).count()) / static_cast<double>(server.coldStart.count()), 0.0, 1.0);
}

ServiceView AssignerDriver::serviceView(
    const ServiceResource& service, const SliceTable& table, Instant now, const HostReports& reports)
{
    ServiceView view;
    view.service = &service;
    const auto resources = m_view.resources();
    for (const ServerResource* server : resources->serversOf(service.name)) {
        const bool usable = resources->acceptsWork(*server) && !isLost(server->name, reports, now);
        view.placement.servers.push_back(
            { server->name, server->dataCentre, server->slots, warmupFraction(*server, usable, now), usable });
    }
    for (const auto& [name, placement] : resources->placements) {
        if (placement.service == service.name)
            view.placement.constraints.push_back(resolve(placement));
    }
    // A move that only balances load must not leave keys waiting for a host that has just died.
    for (const auto& member : m_view.roster()->members)
        view.allHostsAnswer = view.allHostsAnswer
            && (member.name == m_settings.host.name
                || m_mesh.heardSince(member.name, now - m_settings.timing.heartbeatInterval * 2));
    if (table.version) {
        view.placement.sliceLoad = m_loadAggregator.sliceLoad(table, now);
        view.placement.hotKeys = m_loadAggregator.hotKeys(table);
    }
    return view;
}

asio::awaitable<void> AssignerDriver::pollHostList()
{
    for (;;) {
        if (m_election.mayAct()) {
            const auto hosts = co_await m_hostList.read(callTimeout);
            if (hosts) {
                m_hostListRead = true;
                m_liveHosts.clear();
                for (const auto& host : *hosts) {
                    if (host.leaving)
                        continue;
                    m_liveHosts[host.member.name] = host.member;
                    m_lastListedAt[host.member.name] = m_clock.now();
                }
            }
        } else {
            m_liveHosts.clear();
        }
        co_await sleepFor(hostListInterval);
    }
}

}
