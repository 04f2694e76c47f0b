#include "protocol_model.h"

#include <algorithm>

namespace model {

// Sections: set-up, faults, messages, hosts, the assigner, servers.

// --- Set-up

Simulation::Simulation(uint64_t seed, Faults faults, Guards guards)
    : m_faults(faults)
    , m_guards(guards)
    , m_random(seed)
{
    auto roster = std::make_shared<Roster>();
    roster->version = 1;
    for (int i = 0; i < faults.hosts; ++i) {
        const std::string name = "host-" + std::to_string(i);
        roster->members.push_back({ name, "dc-" + std::to_string(i % 2), "127.0.0.1", 1, 2, 3 });
        m_hosts.emplace_back();
        m_hosts.back().name = name;
        m_side.push_back(0);
    }
    m_storeRoster = roster;
    for (int i = 0; i < faults.servers; ++i)
        m_servers.push_back({ "server-" + std::to_string(i) });
    m_points = { 1000, UINT64_MAX / 2 + 1000 };
    for (auto& host : m_hosts)
        restart(host);
}

Outcome Simulation::run()
{
    for (; m_now < m_faults.milliseconds; m_now += stepMillis) {
        if (faultsActive())
            injectFaults();
        else
            endFaults();
        deliver();
        for (int i = 0; i < static_cast<int>(m_hosts.size()); ++i) {
            if (m_hosts[i].pausedUntil <= m_now)
                stepHost(i);
        }
        stepServers();
    }
    m_outcome.servedAtEnd = std::all_of(m_points.begin(), m_points.end(), [this](uint64_t point) {
        const auto last = m_lastDispatch.find(point);
        return last != m_lastDispatch.end() && last->second > m_now - 2'000;
    });
    m_outcome.ownersGiven = m_storeTable->nextFence - 1;
    return m_outcome;
}

// --- Faults

void Simulation::injectFaults()
{
    const double second = stepMillis / 1000.0;
    for (auto& host : m_hosts) {
        if (chance(m_faults.pausePerSecond * second))
            host.pausedUntil = std::max(host.pausedUntil, m_now + randomBetween(100, 3'000));
        if (chance(m_faults.restartPerSecond * second))
            restart(host);
    }
    for (auto& server : m_servers) {
        if (chance(m_faults.freezePerSecond * second))
            server.frozenUntil = m_now + randomBetween(100, 3'000);
        if (chance(m_faults.leavePerSecond * second))
            server.leaving = !server.leaving;
    }
    if (m_partitioned && m_now >= m_partitionedUntil)
        m_partitioned = false;
    if (!m_partitioned && chance(m_faults.partitionPerSecond * second)) {
        m_partitioned = true;
        m_partitionedUntil = m_now + randomBetween(200, 4'000);
        for (auto& side : m_side)
            side = static_cast<int>(randomBetween(0, 1));
    }
    if (m_partitioned && chance(m_faults.replaceInPartitionPerSecond * second)) {
        const auto index = static_cast<size_t>(randomBetween(0, m_faults.hosts - 1));
        restart(m_hosts[index]);
        m_side[index] = 1 - m_side[index];
    }
    if (chance(m_faults.limitChangePerSecond * second))
        m_configuredWorkLimit = m_configuredWorkLimit == workMillis ? workMillis / 5 : workMillis;
    if (chance(m_faults.storeDownPerSecond * second))
        m_storeDownUntil = m_now + randomBetween(200, 4'000);
}

void Simulation::endFaults()
{
    m_partitioned = false;
    for (auto& server : m_servers)
        server.leaving = false;
}

void Simulation::restart(Host& host)
{
    const std::string name = host.name;
    const uint64_t incarnation = host.incarnation + 1;
    host = Host();
    host.name = name;
    host.incarnation = incarnation;
    host.startedAt = m_now;
    host.nextBeat = m_now + randomBetween(0, beatMillis);
    host.lease = std::make_unique<RoutingLease>(name, RoutingLeaseOptions {});
    host.roster = std::make_shared<Roster>();
    host.known = std::make_shared<SliceTable>();
    if (!m_guards.restartedHostsDoNotCount)
        host.lease->recordStoreAnswer(instantFromMillis(m_now) - Millis(60'000), {});
}

// --- Messages

void Simulation::send(int from, int to, Payload payload)
{
    if (!connected(from, to) || (faultsActive() && chance(m_faults.lossProbability)))
        return;
    const int copies = faultsActive() && chance(m_faults.duplicateProbability) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const bool late = faultsActive() && chance(m_faults.delayProbability);
        m_messages.push({ m_now + randomBetween(0, late ? 3'000 : 60), ++m_lastOrder, to, payload });
    }
}

void Simulation::deliver()
{
    std::vector<Message> delayed;
    while (!m_messages.empty() && m_messages.top().at <= m_now) {
        Message message = m_messages.top();
        m_messages.pop();
        Host& host = m_hosts[message.to];
        if (host.pausedUntil > m_now) {
            message.at = host.pausedUntil; // buffered in the host's sockets
            delayed.push_back(std::move(message));
            continue;
        }
        receive(host, message.payload);
        if (!message.payload.isAnswer) {
            Payload answer = payloadOf(message.to);
            answer.isAnswer = true;
            answer.askedAt = message.payload.askedAt;
            send(message.to, message.payload.from, std::move(answer));
        }
    }
    for (auto& message : delayed)
        m_messages.push(std::move(message));
}

Simulation::Payload Simulation::payloadOf(int index) const
{
    const Host& host = m_hosts[index];
    Payload payload;
    payload.from = index;
    payload.askedAt = now();
    payload.known = host.lease->known();
    payload.counts = host.lease->countsInMajorities();
    payload.report = reportOf(host);
    payload.roster = host.roster;
    payload.table = host.known;
    return payload;
}

HostReport Simulation::reportOf(const Host& host) const
{
    HostReport report;
    report.incarnation = host.incarnation;
    report.age = Millis(m_guards.distrustYoungIncarnations ? m_now - host.startedAt : 3'600'000);
    report.counts = host.lease->countsInMajorities();
    report.rosterVersion = host.lease->known().roster;
    if (host.adopted) {
        report.adoptedTables["s"] = host.adopted->version;
        report.busy = host.inFlight.busy(*host.adopted);
    }
    return report;
}

void Simulation::receive(Host& host, const Payload& payload)
{
    const std::string& peer = m_hosts[payload.from].name;
    // A delayed report must not replace one of a later incarnation, or a later one of the same incarnation.
    auto& held = host.reports[peer];
    const bool newer = payload.report.incarnation > held.incarnation
        || (payload.report.incarnation == held.incarnation && payload.report.age >= held.age);
    if (newer)
        held = payload.report;
    host.heardAt[peer] = m_now;
    learn(host, payload.roster, payload.table);
    // Ignores answers to requests of a previous incarnation: these were sent before this one started.
    if (payload.isAnswer && payload.askedAt >= instantFromMillis(host.startedAt))
        host.lease->recordPeerAnswer(peer, payload.askedAt, payload.known, payload.counts);
    updateLease(host);
}

void Simulation::learn(Host& host, std::shared_ptr<const Roster> roster, std::shared_ptr<const SliceTable> table)
{
    if (roster && roster->version > host.roster->version) {
        host.roster = roster;
        host.lease->updateRoster(*roster);
    }
    if (table && table->version > host.known->version) {
        host.known = table;
        host.lease->updateTableVersion("s", table->version);
        host.adoptAt = m_now + randomBetween(0, 60); // the dispatching thread receives the table later
    }
}

void Simulation::updateLease(Host& host)
{
    host.leaseVersion = host.known->version;
    host.leaseUntil = host.lease->validUntil("s", now());
}

// --- Hosts

bool Simulation::storeAnswers(const Host& host) const
{
    const size_t index = static_cast<size_t>(&host - m_hosts.data());
    return m_now >= m_storeDownUntil && (!m_partitioned || m_side[index] == 0);
}

void Simulation::stepHost(int index)
{
    Host& host = m_hosts[index];
    if (m_now >= host.nextBeat) {
        host.nextBeat = m_now + beatMillis;
        for (int peer = 0; peer < static_cast<int>(m_hosts.size()); ++peer) {
            if (peer != index)
                send(index, peer, payloadOf(index));
        }
    }
    const bool stale = host.leaseUntil < now() + Millis(200);
    if (m_now >= host.nextRead && (stale || chance(0.1))) {
        host.nextRead = m_now + 300;
        readStore(host);
    }
    // Closes the connections of dispatches whose deadline has passed, for example while the host was paused.
    for (auto it = host.open.begin(); it != host.open.end();) {
        if (m_now < it->deadline) {
            ++it;
            continue;
        }
        host.inFlight.connectionEnded(it->id);
        it = host.open.erase(it);
    }
    host.inFlight.removeExpired(now());
    dispatch(index); // before adopt(): a host that resumes acts on the table that it last knew
    adopt(host);
    campaign(host);
    assign(host);
}

void Simulation::readStore(Host& host)
{
    if (!storeAnswers(host))
        return;
    learn(host, m_storeRoster, m_storeTable);
    KnownVersions versions;
    versions.roster = m_storeRoster->version;
    if (m_storeTable->version)
        versions.tables["s"] = m_storeTable->version;
    host.lease->recordStoreAnswer(now(), versions);
    updateLease(host);
}

void Simulation::adopt(Host& host)
{
    if (!host.known->version || m_now < host.adoptAt || (host.adopted && host.adopted->version == host.known->version))
        return;
    if (host.adopted && host.adopted->version > host.known->version)
        ++m_outcome.tableRegressions;
    host.adopted = host.known;
}

void Simulation::dispatch(int index)
{
    Host& host = m_hosts[index];
    if (!host.adopted)
        return;
    const bool fresh = host.leaseVersion == host.adopted->version && now() < host.leaseUntil;
    if (!fresh && m_guards.routingLease)
        return;
    for (const uint64_t point : m_points) {
        if (!chance(0.4))
            continue;
        const Slice& slice = host.adopted->slices[host.adopted->indexOf(point)];
        if (slice.state != SliceState::Serving)
            continue;
        const std::string name(host.adopted->serverName(slice.owner));
        const auto server
            = std::find_if(m_servers.begin(), m_servers.end(), [&](const Server& s) { return s.name == name; });
        const int64_t deadline = m_now + host.adopted->workLimit.count();
        const DispatchId id = host.inFlight.add("s", name, point, instantFromMillis(deadline));
        host.open.push_back({ static_cast<int>(server - m_servers.begin()), id, deadline });
        server->work.push_back({ index, host.incarnation, id, point, m_now + randomBetween(0, 50), deadline });
        ++m_outcome.dispatched;
        m_lastDispatch[point] = m_now;
        // Sometimes the connection ends at once, while the request is still in transit.
        if (faultsActive() && chance(0.05)) {
            host.open.pop_back();
            if (m_guards.inFlightUntilDeadline)
                host.inFlight.connectionEnded(id);
            else
                host.inFlight.answered(id);
        }
    }
}

// --- The assigner

void Simulation::campaign(Host& host)
{
    const int index = static_cast<int>(&host - m_hosts.data());
    if (m_now >= m_storeDownUntil && m_leader >= 0 && m_now >= m_leaderLeaseUntil) {
        m_leader = -1; // the leader's lease expired
        ++m_leaderRevision;
    }
    if (!storeAnswers(host))
        return;
    if (m_leader == index && host.term == m_leaderRevision) {
        m_leaderLeaseUntil = m_now + leaderLeaseMillis;
        host.leaderLeaseUntil = m_leaderLeaseUntil;
    } else if (m_leader < 0 && chance(0.2) && host.lease->countsInMajorities()) {
        m_leader = index;
        m_leaderLeaseUntil = m_now + leaderLeaseMillis;
        host.term = ++m_leaderRevision;
        host.leaderLeaseUntil = m_leaderLeaseUntil;
        AssignerOptions options;
        options.gate = m_guards.waitBeforeOwning ? GateOptions {} : GateOptions { Millis(0), Millis(-workMillis) };
        options.placement.initialSlicesPerServer = 1;
        options.rebalanceInterval = Millis(500);
        host.assigner = std::make_unique<ServiceAssigner>(options);
        host.rosterAssigner = std::make_unique<RosterAssigner>(options.gate);
    }
}

void Simulation::assign(Host& host)
{
    // A leader that resumes after a pause may act as leader for one more step; the compare in the store's transaction
    // rejects its writes.
    const bool actsAsLeader = host.term && (m_now < host.leaderLeaseUntil || chance(0.5));
    if (!actsAsLeader || !host.roster->version)
        return;
    HostReports reports = host.reports;
    for (auto& [name, report] : reports)
        report.age += Millis(m_now - host.heardAt[name]);
    reports[host.name] = reportOf(host);

    Roster counted = *host.roster;
    if (!m_guards.majorityAcknowledges) {
        std::erase_if(counted.members,
            [&](const Member& member) { return member.name != host.name && m_now - host.heardAt[member.name] > 300; });
    }
    ServiceResource service;
    service.name = "s";
    service.longestWork = Millis(m_configuredWorkLimit);
    ServiceView view;
    view.service = &service;
    for (const auto& server : m_servers) {
        const bool lost = server.frozenUntil > m_now && chance(0.5);
        view.placement.servers.push_back({ server.name, "dc-1", 1, 1, !server.leaving && !lost });
    }
    // Hot keys and loads change at random, so that slices are also split, merged and moved for balance.
    for (size_t i = 0; i < host.known->slices.size(); ++i)
        view.placement.sliceLoad.push_back(static_cast<double>(randomBetween(0, 100)));
    for (const uint64_t point : m_points) {
        if (chance(0.5))
            view.placement.hotKeys.push_back({ point, 10 });
    }
    const auto writable = [&](uint64_t version, uint64_t storeVersion) {
        const bool isLeader = m_leaderRevision == host.term;
        return storeAnswers(host) && isLeader && version == storeVersion + 1;
    };
    RosterView rosterView;
    rosterView.longestWork = Millis(workMillis);
    for (const auto& other : m_hosts) {
        const bool heard = other.name == host.name || m_now - host.heardAt[other.name] < 500;
        const auto report = reports.find(other.name);
        if (heard && report != reports.end() && report->second.counts)
            rosterView.live.push_back({ other.name, "dc-1", "127.0.0.1", 1, 2, 3 });
        if (!heard && m_now - host.heardAt[other.name] > 1'500)
            rosterView.hostsToRemove.insert(other.name);
    }
    const auto roster = host.rosterAssigner->next(*host.roster, rosterView, reports, now());
    if (roster && writable(roster->version, m_storeRoster->version)) {
        m_storeRoster = std::make_shared<const Roster>(*roster);
        if (!faultsActive() || !chance(m_faults.lostAnswerProbability))
            learn(host, m_storeRoster, nullptr);
    }
    SliceTable current = *host.known;
    auto table = host.assigner->next(current, view, counted, reports, now());
    if (table && !m_guards.waitForLoweredLimit) {
        table->inFlightWorkLimit = table->workLimit;
        table->loweredInVersion = 0;
    }
    if (table && writable(table->version, m_storeTable->version)) {
        m_storeTable = std::make_shared<const SliceTable>(*table);
        if (!faultsActive() || !chance(m_faults.lostAnswerProbability))
            learn(host, nullptr, m_storeTable);
    } else if (table) {
        readStore(host);
    }
    updateLease(host);
}

// --- Servers

void Simulation::stepServers()
{
    for (size_t s = 0; s < m_servers.size(); ++s) {
        Server& server = m_servers[s];
        if (server.frozenUntil > m_now)
            continue;
        for (auto it = server.work.begin(); it != server.work.end();) {
            Work& work = *it;
            if (work.begin < 0 && work.arriveAt <= m_now) {
                if (!m_guards.absoluteDeadlines)
                    work.deadline = m_now + workMillis; // restarts the time limit
                if (m_now >= work.deadline) {
                    it = server.work.erase(it);
                    continue;
                }
                work.begin = m_now;
                work.end = std::min(work.deadline, m_now + randomBetween(10, workMillis));
                countOverlaps(s, work);
            }
            if (work.end >= 0 && m_now >= work.end) {
                Host& host = m_hosts[work.host];
                const bool reaches = host.incarnation == work.incarnation && connected(work.host, 0)
                    && !(faultsActive() && chance(0.1));
                if (reaches && host.pausedUntil <= m_now) {
                    host.inFlight.answered(work.id);
                    std::erase_if(host.open, [&](const OpenDispatch& d) { return d.id == work.id; });
                }
                it = server.work.erase(it);
                continue;
            }
            ++it;
        }
    }
}

void Simulation::countOverlaps(size_t server, const Work& started)
{
    for (size_t s = 0; s < m_servers.size(); ++s) {
        if (s == server)
            continue;
        for (const auto& work : m_servers[s].work) {
            if (work.point == started.point && work.begin >= 0 && work.end > m_now)
                ++m_outcome.twoOwners;
        }
    }
}

}
