#include "control/Control.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr Millis housekeepingInterval { 100 };
    constexpr Millis minLeaseExtension { 80 }; // smaller extensions aren't sent to the routing thread
    constexpr Millis staleReadInterval { 500 };

    HostLoad hostLoadOf(const wire::LoadReport& report)
    {
        HostLoad load;
        load.tableVersion = static_cast<uint64_t>(report.tableVersion);
        for (const auto& slice : report.slices)
            load.slices[static_cast<size_t>(slice.slice)] = slice.busyMicrosPerSecond / 1000.0;
        for (const auto& key : report.hotKeys)
            load.keys[static_cast<uint64_t>(key.point)] = key.busyMicrosPerSecond / 1000.0;
        return load;
    }

    int32_t perSecond(uint64_t micros, Millis over)
    {
        const auto rate = micros * 1000 / static_cast<uint64_t>(std::max<int64_t>(1, over.count()));
        return static_cast<int32_t>(std::min<uint64_t>(rate, INT32_MAX));
    }

    wire::LoadReport wireLoadOf(const std::string& host, const std::string& service, const ServiceLoad& load)
    {
        wire::LoadReport report;
        report.sender = host;
        report.serviceName = service;
        report.tableVersion = static_cast<int64_t>(load.tableVersion);
        uint64_t total = 0;
        for (const auto& [slice, micros] : load.busyMicros) {
            total += micros;
            wire::SliceLoad entry;
            entry.slice = static_cast<int32_t>(slice);
            entry.busyMicrosPerSecond = perSecond(micros, load.period);
            report.slices.push_back(entry);
        }
        for (const auto& key : load.hotKeys) {
            const uint64_t minWeight = key.weight - key.error;
            if (minWeight * 1000 < total)
                break; // under a thousandth of the load: too little for a slice of its own
            wire::KeyLoad entry;
            entry.point = static_cast<int64_t>(key.point);
            entry.busyMicrosPerSecond = perSecond(minWeight, load.period);
            report.hotKeys.push_back(entry);
        }
        return report;
    }

}

Control::Control(asio::any_io_executor executor, const Clock& clock, const Settings& settings, Store& store,
    HostList& hostList, Metrics& metrics, StatusBoard& board, UpdateSink sink)
    : m_executor(executor)
    , m_clock(clock)
    , m_settings(settings)
    , m_metrics(metrics)
    , m_statusBoard(board)
    , m_sink(std::move(sink))
    , m_routingLease(settings.host.name, { settings.timing.lease })
    , m_mesh(executor, clock, settings, m_view, m_routingLease, metrics, *this)
    , m_peerServer(
          executor, settings.host.peers.address, settings.host.peers.port, m_mesh, metrics.counter("peers_bytes_sent"))
    , m_follower(clock, settings, store, m_view, m_routingLease, metrics, *this)
    , m_election(executor, clock, { settings.host.name, {}, settings.timing.leaderLease }, store, m_view, metrics)
    , m_assigner(clock, settings, store, hostList, m_view, m_election, m_mesh, m_loadAggregator, metrics,
          [this](const ViewChange& change) { onViewChange(change); })
{
}

void Control::start()
{
    spawnLoop(m_executor, "store-follower", m_follower.run());
    spawnLoop(m_executor, "election", m_election.run());
    spawnLoop(m_executor, "assigner", m_assigner.run());
    spawnLoop(m_executor, "host-list", m_assigner.pollHostList());
    spawnLoop(m_executor, "housekeeping", housekeeping());
    spawnLoop(m_executor, "stale-reads", readStoreWhileStale());
}

asio::awaitable<void> Control::leave()
{
    // If the store doesn't answer, the leader's lease expires by itself. Until then no owner changes.
    co_await m_election.resign();
}

void Control::sendUpdate(RoutingUpdate update)
{
    if (!m_sink(std::move(update)))
        m_updateLost = true;
}

void Control::onViewChange(const ViewChange& change)
{
    if (change.leader)
        m_election.onLeaderChange();
    if (change.roster) {
        m_routingLease.updateRoster(*m_view.roster());
        choosePeers();
        RoutingUpdate update;
        update.roster = m_view.roster();
        sendUpdate(std::move(update));
    }
    if (change.resources) {
        RoutingUpdate update;
        update.resources = m_view.resources();
        sendUpdate(std::move(update));
    }
    for (const auto& service : change.tables) {
        m_routingLease.updateTableVersion(service, m_view.table(service)->version);
        RoutingUpdate update;
        update.table = m_view.table(service);
        sendUpdate(std::move(update));
    }
    if (change.any()) {
        m_mesh.refreshOwnState();
        publishLeases();
        publishStatus(); // so that an operator who reads the status after a write sees the write
    }
}

void Control::onLeaseChange() { publishLeases(); }

void Control::onStoreRead()
{
    m_mesh.refreshOwnState();
    if (!m_configurationSent)
        publishEverything(); // even if the configuration is empty
    m_configurationSent = true;
    publishLeases();
}

void Control::publishLeases()
{
    const Instant now = m_clock.now();
    RoutingUpdate update;
    for (const auto& [service, table] : m_view.tables()) {
        const LeaseValidity fresh { service, table->version, m_routingLease.validUntil(service, now) };
        LeaseValidity& lastSent = m_sentLeases[service];
        // Every heartbeat answer extends the lease a little. Waking the routing thread for each of them would cost more
        // than all heartbeats together.
        if (fresh.tableVersion == lastSent.tableVersion && fresh.validUntil < lastSent.validUntil + minLeaseExtension)
            continue;
        lastSent = fresh;
        update.leases.push_back(fresh);
    }
    if (!update.leases.empty())
        sendUpdate(std::move(update));
}

void Control::publishEverything()
{
    m_updateLost = false;
    m_sentLeases.clear();
    m_sentRelays.clear();
    RoutingUpdate update;
    update.resources = m_view.resources();
    update.roster = m_view.roster();
    sendUpdate(std::move(update));
    for (const auto& [service, table] : m_view.tables()) {
        RoutingUpdate tableUpdate;
        tableUpdate.table = table;
        sendUpdate(std::move(tableUpdate));
    }
    publishLeases();
}

void Control::onRoutingReport(RoutingReport report)
{
    HostReport own;
    own.adoptedTables = std::move(report.adoptedTables);
    own.resourcesRevision = report.resourcesRevision;
    own.busy = std::move(report.busy);
    own.sights = std::move(report.sights);
    m_mesh.setOwnReport(std::move(own));
    if (!report.loads.empty())
        asio::co_spawn(m_executor, sendLoads(std::move(report.loads)), asio::detached);
}

asio::awaitable<void> Control::sendLoads(std::map<std::string, ServiceLoad> loads)
{
    for (const auto& [service, load] : loads) {
        wire::LoadReport report = wireLoadOf(m_settings.host.name, service, load);
        const std::string leader = m_view.leader().host;
        if (leader == m_settings.host.name)
            onPeerLoad(report);
        else if (!leader.empty())
            co_await m_mesh.sendLoad(leader, report);
    }
}

void Control::onPeerLoad(const wire::LoadReport& report)
{
    m_loadAggregator.report(report.sender, report.serviceName, hostLoadOf(report), m_clock.now());
}

// Selects the peers to send heartbeats to: live hosts outside the roster (known to the assigner alone), the assigner,
// which must hear from every host, and the members that follow this host in the roster, until as many members as a
// majority has are answering. Together with this host that is one more than a majority needs. Each member that doesn't
// answer is replaced by the next one.
void Control::choosePeers()
{
    const auto& roster = *m_view.roster();
    std::map<std::string, Member> wanted;
    for (const auto& [name, member] : m_assigner.liveHosts()) {
        if (!roster.isMember(name))
            wanted[name] = member;
    }
    const Member* assigner = roster.find(m_view.leader().host);
    if (assigner)
        wanted[assigner->name] = *assigner;

    const Instant recently = m_clock.now() - m_settings.timing.heartbeatInterval * 3 / 2;
    const size_t count = roster.members.size();
    const auto self = std::find_if(roster.members.begin(), roster.members.end(),
        [this](const Member& member) { return member.name == m_settings.host.name; });
    const size_t start = static_cast<size_t>(self - roster.members.begin());
    size_t answering = 0;
    for (size_t step = 1; step <= count && answering < roster.majority(); ++step) {
        const Member& member = roster.members[(start + step) % count];
        if (member.state != MemberState::Member || member.name == m_settings.host.name)
            continue;
        wanted[member.name] = member;
        answering += m_mesh.answeredSince(member.name, recently);
    }
    wanted.erase(m_settings.host.name);
    m_mesh.setPeers(wanted);
}

// Sends the routing thread the servers that this host can't reach but other hosts can, with these hosts. The servers
// keep their slices, and requests to them are relayed through one of these hosts.
void Control::publishRelays()
{
    const Instant now = m_clock.now();
    const HostReports reports = m_mesh.reports(now);
    std::map<std::string, std::vector<Member>> relays;
    for (const auto& [server, sight] : reports.at(m_settings.host.name).sights) {
        if (sight == Reachability::Reachable || sight == Reachability::Unknown)
            continue;
        for (const auto& member : m_view.roster()->members) {
            const auto report = reports.find(member.name);
            const bool heard = m_mesh.heardSince(member.name, now - m_settings.timing.lease);
            if (!heard || member.state != MemberState::Member || report == reports.end())
                continue;
            const auto observation = report->second.sights.find(server);
            if (observation != report->second.sights.end() && observation->second == Reachability::Reachable)
                relays[server].push_back(member);
        }
    }
    if (relays == m_sentRelays)
        return;
    m_sentRelays = relays;
    RoutingUpdate update;
    update.relays = std::move(relays);
    sendUpdate(std::move(update));
}

asio::awaitable<void> Control::housekeeping()
{
    for (;;) {
        choosePeers();
        m_mesh.refreshOwnState();
        publishLeases();
        publishRelays();
        if (m_updateLost)
            publishEverything();
        publishStatus();
        co_await sleepFor(housekeepingInterval);
    }
}

asio::awaitable<void> Control::readStoreWhileStale()
{
    // The second way to renew the routing lease: if most of the roster is down, peers can't renew it, but an answer of
    // the store can.
    for (;;) {
        co_await sleepFor(staleReadInterval / 2);
        const Instant now = m_clock.now();
        bool stale = false;
        for (const auto& [service, table] : m_view.tables())
            stale = stale || m_routingLease.validUntil(service, now) < now + staleReadInterval / 2;
        if (!stale || !m_routingLease.mayRoute())
            continue;
        m_metrics.counter("store_reads_stale").add();
        co_await m_follower.readAll();
        co_await sleepFor(staleReadInterval / 2);
    }
}

void Control::publishStatus()
{
    auto snapshot = std::make_shared<StatusSnapshot>();
    const Instant now = m_clock.now();
    snapshot->host = m_settings.host.name;
    snapshot->counts = m_routingLease.countsInMajorities();
    snapshot->isAssigner = m_election.mayAct();
    snapshot->storeAnswers = m_follower.storeAnswers();
    snapshot->storeWentBack = m_follower.storeWentBack();
    snapshot->leader = m_view.leader();
    snapshot->resources = m_view.resources();
    snapshot->entries = m_view.entries();
    snapshot->roster = m_view.roster();
    snapshot->tables = m_view.tables();
    for (const auto& [service, table] : m_view.tables())
        snapshot->freshForMillis[service] = (m_routingLease.validUntil(service, now) - now).count();
    snapshot->reports = m_mesh.reports(now);
    m_statusBoard.publish(std::move(snapshot));
}

}
