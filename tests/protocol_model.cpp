#include "protocol_model.h"

#include <algorithm>

namespace model {

// Sections: set-up, faults, messages, hosts, the assigner, servers.

// --- Set-up

World::World(uint64_t seed, Faults faults, Guards guards)
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

Outcome World::run()
{
    for (; m_now < m_faults.milliseconds; m_now += stepMillis) {
        if (faulty())
            injectFaults();
        else
            heal();
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

void World::injectFaults()
{
    const double second = stepMillis / 1000.0;
    for (auto& host : m_hosts) {
        if (chance(m_faults.pausePerSecond * second))
            host.pausedUntil = std::max(host.pausedUntil, m_now + pick(100, 3'000));
        if (chance(m_faults.restartPerSecond * second))
            restart(host);
    }
    for (auto& server : m_servers) {
        if (chance(m_faults.freezePerSecond * second))
            server.frozenUntil = m_now + pick(100, 3'000);
        if (chance(m_faults.leavePerSecond * second))
            server.leaving = !server.leaving;
    }
    if (m_cut && m_now >= m_cutUntil)
        m_cut = false;
    if (!m_cut && chance(m_faults.cutPerSecond * second)) {
        m_cut = true;
        m_cutUntil = m_now + pick(200, 4'000);
        for (auto& side : m_side)
            side = static_cast<int>(pick(0, 1));
    }
    if (m_cut && chance(m_faults.replaceInCutPerSecond * second)) {
        const auto index = static_cast<size_t>(pick(0, m_faults.hosts - 1));
        restart(m_hosts[index]);
        m_side[index] = 1 - m_side[index];
    }
    if (chance(m_faults.limitPerSecond * second))
        m_workWish = m_workWish == workMillis ? workMillis / 5 : workMillis;
    if (chance(m_faults.storeDownPerSecond * second))
        m_storeDownUntil = m_now + pick(200, 4'000);
}

void World::heal()
{
    m_cut = false;
    for (auto& server : m_servers)
        server.leaving = false;
}

void World::restart(Host& host)
{
    const std::string name = host.name;
    const uint64_t incarnation = host.incarnation + 1;
    host = Host();
    host.name = name;
    host.incarnation = incarnation;
    host.startedAt = m_now;
    host.nextBeat = m_now + pick(0, beatMillis);
    host.freshness = std::make_unique<Freshness>(name, FreshnessOptions {});
    host.roster = std::make_shared<Roster>();
    host.known = std::make_shared<SliceTable>();
    if (!m_guards.restartedDoNotCount)
        host.freshness->storeAnswered(instantFromMillis(m_now) - Millis(60'000), {});
}

// --- Messages

void World::send(int from, int to, Words words)
{
    if (!connected(from, to) || (faulty() && chance(m_faults.loss)))
        return;
    const int copies = faulty() && chance(m_faults.repeat) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const bool late = faulty() && chance(m_faults.late);
        m_messages.push({ m_now + pick(0, late ? 3'000 : 60), ++m_order, to, words });
    }
}

void World::deliver()
{
    std::vector<Message> kept;
    while (!m_messages.empty() && m_messages.top().at <= m_now) {
        Message message = m_messages.top();
        m_messages.pop();
        Host& host = m_hosts[message.to];
        if (host.pausedUntil > m_now) {
            message.at = host.pausedUntil; // waits in its sockets
            kept.push_back(std::move(message));
            continue;
        }
        receive(host, message.words);
        if (!message.words.isAnswer) {
            Words answer = wordsOf(message.to);
            answer.isAnswer = true;
            answer.askedAt = message.words.askedAt;
            send(message.to, message.words.from, std::move(answer));
        }
    }
    for (auto& message : kept)
        m_messages.push(std::move(message));
}

World::Words World::wordsOf(int index) const
{
    const Host& host = m_hosts[index];
    Words words;
    words.from = index;
    words.askedAt = now();
    words.known = host.freshness->known();
    words.counts = host.freshness->counts();
    words.report = reportOf(host);
    words.roster = host.roster;
    words.table = host.known;
    return words;
}

HostReport World::reportOf(const Host& host) const
{
    HostReport report;
    report.incarnation = host.incarnation;
    report.age = Millis(m_guards.incarnationRule ? m_now - host.startedAt : 3'600'000);
    report.counts = host.freshness->counts();
    report.rosterVersion = host.freshness->known().roster;
    if (host.adopted) {
        report.adoptedTables["s"] = host.adopted->version;
        report.busy = host.inFlight.busy(*host.adopted);
    }
    return report;
}

void World::receive(Host& host, const Words& words)
{
    const std::string& peer = m_hosts[words.from].name;
    // A peer's later incarnation or later state is not replaced by an earlier one that comes late.
    auto& held = host.reports[peer];
    const bool newer = words.report.incarnation > held.incarnation
        || (words.report.incarnation == held.incarnation && words.report.age >= held.age);
    if (newer)
        held = words.report;
    host.heardAt[peer] = m_now;
    learn(host, words.roster, words.table);
    // An answer to a question of a former incarnation is not one to this: its askedAt lies before the start.
    if (words.isAnswer && words.askedAt >= instantFromMillis(host.startedAt))
        host.freshness->peerAnswered(peer, words.askedAt, words.known, words.counts);
    publishFreshness(host);
}

void World::learn(Host& host, std::shared_ptr<const Roster> roster, std::shared_ptr<const SliceTable> table)
{
    if (roster && roster->version > host.roster->version) {
        host.roster = roster;
        host.freshness->holdRoster(*roster);
    }
    if (table && table->version > host.known->version) {
        host.known = table;
        host.freshness->holdTable("s", table->version);
        host.adoptAt = m_now + pick(0, 60); // the dispatching thread hears of it later
    }
}

void World::publishFreshness(Host& host)
{
    host.freshVersion = host.known->version;
    host.freshUntil = host.freshness->freshUntil("s", now());
}

// --- Hosts

bool World::storeAnswers(const Host& host) const
{
    const size_t index = static_cast<size_t>(&host - m_hosts.data());
    return m_now >= m_storeDownUntil && (!m_cut || m_side[index] == 0);
}

void World::stepHost(int index)
{
    Host& host = m_hosts[index];
    if (m_now >= host.nextBeat) {
        host.nextBeat = m_now + beatMillis;
        for (int peer = 0; peer < static_cast<int>(m_hosts.size()); ++peer) {
            if (peer != index)
                send(index, peer, wordsOf(index));
        }
    }
    const bool stale = host.freshUntil < now() + Millis(200);
    if (m_now >= host.nextRead && (stale || chance(0.1))) {
        host.nextRead = m_now + 300;
        readStore(host);
    }
    // The work of a paused host's connections: what was answered or has run out meanwhile.
    for (auto it = host.open.begin(); it != host.open.end();) {
        if (m_now < it->deadline) {
            ++it;
            continue;
        }
        host.inFlight.connectionEnded(it->id);
        it = host.open.erase(it);
    }
    host.inFlight.forgetExpired(now());
    dispatch(index); // before adopting: a host that wakes acts on what it last knew
    adopt(host);
    stand(host);
    assign(host);
}

void World::readStore(Host& host)
{
    if (!storeAnswers(host))
        return;
    learn(host, m_storeRoster, m_storeTable);
    KnownVersions versions;
    versions.roster = m_storeRoster->version;
    if (m_storeTable->version)
        versions.tables["s"] = m_storeTable->version;
    host.freshness->storeAnswered(now(), versions);
    publishFreshness(host);
}

void World::adopt(Host& host)
{
    if (!host.known->version || m_now < host.adoptAt || (host.adopted && host.adopted->version == host.known->version))
        return;
    if (host.adopted && host.adopted->version > host.known->version)
        ++m_outcome.wentBack;
    host.adopted = host.known;
}

void World::dispatch(int index)
{
    Host& host = m_hosts[index];
    if (!host.adopted)
        return;
    const bool fresh = host.freshVersion == host.adopted->version && now() < host.freshUntil;
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
        server->work.push_back({ index, host.incarnation, id, point, m_now + pick(0, 50), deadline });
        ++m_outcome.dispatched;
        m_lastDispatch[point] = m_now;
        // Sometimes the connection ends at once, while the request is on its way.
        if (faulty() && chance(0.05)) {
            host.open.pop_back();
            if (m_guards.inFlightUntilDeadline)
                host.inFlight.connectionEnded(id);
            else
                host.inFlight.answered(id);
        }
    }
}

// --- The assigner

void World::stand(Host& host)
{
    const int index = static_cast<int>(&host - m_hosts.data());
    if (m_now >= m_storeDownUntil && m_leader >= 0 && m_now >= m_leaderUntil) {
        m_leader = -1; // the lease lapsed
        ++m_leaderRevision;
    }
    if (!storeAnswers(host))
        return;
    if (m_leader == index && host.term == m_leaderRevision) {
        m_leaderUntil = m_now + leaderLeaseMillis;
        host.believesUntil = m_leaderUntil;
    } else if (m_leader < 0 && chance(0.2) && host.freshness->counts()) {
        m_leader = index;
        m_leaderUntil = m_now + leaderLeaseMillis;
        host.term = ++m_leaderRevision;
        host.believesUntil = m_leaderUntil;
        AssignerOptions options;
        options.gate = m_guards.waitBeforeOwning ? GateOptions {} : GateOptions { Millis(0), Millis(-workMillis) };
        options.placement.initialSlicesPerServer = 1;
        options.evenEvery = Millis(500);
        host.assigner = std::make_unique<ServiceAssigner>(options);
        host.rosterAssigner = std::make_unique<RosterAssigner>(options.gate);
    }
}

void World::assign(Host& host)
{
    // A paused leader that wakes still believes in its office for one step; the store's compare stops it.
    const bool believes = host.term && (m_now < host.believesUntil || chance(0.5));
    if (!believes || !host.roster->version)
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
    service.longestWork = Millis(m_workWish);
    ServiceView view;
    view.service = &service;
    for (const auto& server : m_servers) {
        const bool lost = server.frozenUntil > m_now && chance(0.5);
        view.placement.servers.push_back({ server.name, "dc-1", 1, 1, !server.leaving && !lost });
    }
    // Hot keys come and go and loads differ, so that slices are cut, joined and moved for evenness as well.
    for (size_t i = 0; i < host.known->slices.size(); ++i)
        view.placement.sliceLoad.push_back(static_cast<double>(pick(0, 100)));
    for (const uint64_t point : m_points) {
        if (chance(0.5))
            view.placement.hotKeys.push_back({ point, 10 });
    }
    const auto writable = [&](uint64_t version, uint64_t storeVersion) {
        const bool office = m_leaderRevision == host.term;
        return storeAnswers(host) && office && version == storeVersion + 1;
    };
    RosterView rosterView;
    rosterView.longestWork = Millis(workMillis);
    for (const auto& other : m_hosts) {
        const bool heard = other.name == host.name || m_now - host.heardAt[other.name] < 500;
        const auto report = reports.find(other.name);
        if (heard && report != reports.end() && report->second.counts)
            rosterView.live.push_back({ other.name, "dc-1", "127.0.0.1", 1, 2, 3 });
        if (!heard && m_now - host.heardAt[other.name] > 1'500)
            rosterView.gone.insert(other.name);
    }
    const auto roster = host.rosterAssigner->next(*host.roster, rosterView, reports, now());
    if (roster && writable(roster->version, m_storeRoster->version)) {
        m_storeRoster = std::make_shared<const Roster>(*roster);
        if (!faulty() || !chance(m_faults.answerLost))
            learn(host, m_storeRoster, nullptr);
    }
    SliceTable current = *host.known;
    auto table = host.assigner->next(current, view, counted, reports, now());
    if (table && !m_guards.waitForFormerLimit) {
        table->formerWork = table->workLimit;
        table->loweredIn = 0;
    }
    if (table && writable(table->version, m_storeTable->version)) {
        m_storeTable = std::make_shared<const SliceTable>(*table);
        if (!faulty() || !chance(m_faults.answerLost))
            learn(host, nullptr, m_storeTable);
    } else if (table) {
        readStore(host);
    }
    publishFreshness(host);
}

// --- Servers

void World::stepServers()
{
    for (size_t s = 0; s < m_servers.size(); ++s) {
        Server& server = m_servers[s];
        if (server.frozenUntil > m_now)
            continue;
        for (auto it = server.work.begin(); it != server.work.end();) {
            Work& work = *it;
            if (work.begin < 0 && work.arriveAt <= m_now) {
                if (!m_guards.absoluteDeadlines)
                    work.deadline = m_now + workMillis; // anew
                if (m_now >= work.deadline) {
                    it = server.work.erase(it);
                    continue;
                }
                work.begin = m_now;
                work.end = std::min(work.deadline, m_now + pick(10, workMillis));
                judge(s, work);
            }
            if (work.end >= 0 && m_now >= work.end) {
                Host& host = m_hosts[work.host];
                const bool reaches
                    = host.incarnation == work.incarnation && connected(work.host, 0) && !(faulty() && chance(0.1));
                if (reaches && host.pausedUntil <= m_now) {
                    host.inFlight.answered(work.id);
                    std::erase_if(host.open, [&](const Dispatched& d) { return d.id == work.id; });
                }
                it = server.work.erase(it);
                continue;
            }
            ++it;
        }
    }
}

void World::judge(size_t server, const Work& started)
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
