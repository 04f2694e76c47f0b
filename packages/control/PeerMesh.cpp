#include "control/PeerMesh.h"

#include "base/Random.h"
#include "decisions/TableCodec.h"
#include "resources/RosterCodec.h"

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr uint64_t firstSequenceRange = 1 << 26;

}

PeerMesh::PeerMesh(asio::any_io_executor executor, const Clock& clock, const Settings& settings, ClusterView& view,
    RoutingLease& routingLease, Metrics& metrics, MeshEvents& events)
    : m_executor(executor)
    , m_clock(clock)
    , m_settings(settings)
    , m_view(view)
    , m_routingLease(routingLease)
    , m_bytesSent(metrics.counter("peers_bytes_sent"))
    , m_beats(metrics.counter("peers_beats"))
    , m_beatsMissed(metrics.counter("peers_beats_missed"))
    , m_events(events)
    // Starts at random, so that a peer doesn't take the first states of this incarnation for states of the previous one
    // that it already has. The range is small because every heartbeat contains the number.
    , m_sequence(1 + static_cast<int64_t>(randomNumber() % firstSequenceRange))
    , m_startedAt(clock.now())
    , m_stateChanged(executor)
{
    m_own.report.incarnation = randomNumber();
}

void PeerMesh::setOwnReport(HostReport report)
{
    PeerState next = m_own;
    const uint64_t incarnation = m_own.report.incarnation;
    next.report = std::move(report);
    next.report.incarnation = incarnation;
    next.report.counts = m_routingLease.countsInMajorities();
    next.report.rosterVersion = m_routingLease.known().roster;
    if (next.equalsIgnoringAge(m_own))
        return;
    m_own = std::move(next);
    ++m_sequence;
    m_stateChanged.notifyAll();
}

void PeerMesh::refreshOwnState()
{
    PeerState next = m_own;
    next.known = m_routingLease.known();
    next.knownResourcesRevision = m_view.resources()->revision;
    next.report.counts = m_routingLease.countsInMajorities();
    next.report.rosterVersion = next.known.roster;
    if (next.equalsIgnoringAge(m_own))
        return;
    m_own = std::move(next);
    ++m_sequence;
}

void PeerMesh::setPeers(const std::map<std::string, Member>& wanted)
{
    for (auto& [name, peer] : m_peers) {
        const auto found = wanted.find(name);
        const bool same = found != wanted.end() && found->second.address == peer.member.address
            && found->second.peerPort == peer.member.peerPort;
        if (!same)
            peer.link.reset(); // ends its beatLoop()
    }
    for (const auto& [name, member] : wanted) {
        Peer& peer = m_peers[name];
        peer.member = member;
        if (peer.link)
            continue;
        peer.link = std::make_shared<PeerLink>(m_executor, member.address, member.peerPort, m_bytesSent);
        spawnLoop(m_executor, "beats", beatLoop(name, peer.link));
    }
}

wire::Beat PeerMesh::makeBeat(int64_t ackedSequence, int64_t sequence) const
{
    wire::Beat beat;
    beat.sender = m_settings.host.name;
    beat.sequence = m_sequence;
    beat.holds = sequence;
    if (ackedSequence != m_sequence) {
        PeerState state = m_own;
        state.report.age = m_clock.now() - m_startedAt;
        beat.__set_state(toWire(state));
    }
    return beat;
}

void PeerMesh::recordBeat(Peer& peer, const wire::Beat& beat)
{
    const Instant now = m_clock.now();
    peer.heard = true;
    peer.heardAt = now;
    peer.ackedSequence = beat.holds;
    if (!beat.__isset.state)
        return;
    peer.state = fromWire(beat.state);
    peer.sequence = beat.sequence;
    peer.stateAt = now;
}

asio::awaitable<void> PeerMesh::beatLoop(std::string name, std::shared_ptr<PeerLink> link)
{
    while (m_peers[name].link == link) {
        const Instant askedAt = m_clock.now();
        const wire::Beat ask = makeBeat(m_peers[name].ackedSequence, m_peers[name].sequence);
        const int64_t sentSequence = m_sequence;
        const auto answer = co_await link->beat(ask, m_settings.timing.lease);
        if (m_peers[name].link != link)
            co_return;
        Peer& peer = m_peers[name];
        if (answer) {
            m_beats.add();
            peer.answeredAt = m_clock.now();
            recordBeat(peer, *answer);
            // An answer without a state confirms the state that this host already has, if the sequence is the same.
            // With another sequence it can't be used.
            if (answer->sequence == peer.sequence) {
                m_routingLease.recordPeerAnswer(name, askedAt, peer.state.known, peer.state.report.counts);
                refreshOwnState();
                m_events.onLeaseChange();
                co_await fetchNewerVersions(name, link);
            }
        } else {
            m_beatsMissed.add();
            peer.ackedSequence = 0;
        }
        if (sentSequence == m_sequence)
            co_await m_stateChanged.wait(m_settings.timing.heartbeatInterval);
        else
            co_await sleepFor(Millis(5)); // the state changed meanwhile: send it soon, several changes at a time
    }
}

asio::awaitable<void> PeerMesh::fetchNewerVersions(std::string name, std::shared_ptr<PeerLink> link)
{
    const Millis timeout = m_settings.timing.lease;
    const PeerState state = m_peers[name].state;
    if (state.known.roster > m_routingLease.known().roster) {
        const auto text = co_await link->roster(timeout);
        auto roster = text ? decodeRoster(*text) : std::nullopt;
        if (roster)
            m_events.onViewChange(m_view.applyRoster(*roster, 0));
    }
    for (const auto& [service, version] : state.known.tables) {
        if (version <= m_routingLease.known().ofTable(service))
            continue;
        const auto bytes = co_await link->table(service, timeout);
        auto table = bytes ? decodeTable(*bytes) : std::nullopt;
        if (table)
            m_events.onViewChange(m_view.applyTable(std::move(*table), 0));
    }
    if (state.knownResourcesRevision > m_view.resources()->revision) {
        const auto text = co_await link->resources(timeout);
        if (text)
            m_events.onViewChange(m_view.applyPeerResources(*text));
    }
}

asio::awaitable<bool> PeerMesh::sendLoad(std::string peer, wire::LoadReport report)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || !found->second.link)
        co_return false;
    // Uses a separate connection, because the one for heartbeats takes only one request at a time.
    PeerLink link(m_executor, found->second.member.address, found->second.member.peerPort, m_bytesSent);
    co_return co_await link.load(report, m_settings.timing.lease);
}

HostReports PeerMesh::reports(Instant now) const
{
    HostReports all;
    HostReport own = m_own.report;
    own.age = now - m_startedAt;
    all.emplace(m_settings.host.name, std::move(own));
    for (const auto& [name, peer] : m_peers) {
        if (!peer.heard)
            continue;
        HostReport report = peer.state.report;
        report.age += now - peer.stateAt;
        all.emplace(name, std::move(report));
    }
    return all;
}

bool PeerMesh::answeredSince(std::string_view name, Instant since) const
{
    const auto found = m_peers.find(name);
    return found != m_peers.end() && found->second.answeredAt >= since;
}

bool PeerMesh::heardSince(std::string_view name, Instant since) const
{
    const auto found = m_peers.find(name);
    return found != m_peers.end() && found->second.heard && found->second.heardAt >= since;
}

wire::Beat PeerMesh::onBeat(const wire::Beat& ask)
{
    Peer& peer = m_peers[ask.sender];
    recordBeat(peer, ask);
    refreshOwnState();
    return makeBeat(ask.holds, peer.sequence);
}

void PeerMesh::onLoad(const wire::LoadReport& report) { m_events.onPeerLoad(report); }

std::string PeerMesh::onTable(const std::string& service)
{
    const auto table = m_view.table(service);
    return table ? encodeTable(*table) : std::string();
}

std::string PeerMesh::onRoster() { return m_view.roster()->version ? encodeRoster(*m_view.roster()) : std::string(); }

std::string PeerMesh::onResources() { return m_view.resourcesForPeers(); }

}
