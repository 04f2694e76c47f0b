// Detection of requests that crash servers, among many harmless requests and servers that crash for other reasons.
#include "decisions/CrashEvidence.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace cumindale;

namespace {

constexpr Instant begin { Millis(100'000) };
constexpr Millis step { 20 };
constexpr Millis workDuration { 100 };
constexpr Millis restartDuration { 2'500 }; // of a server, after a crash
constexpr Millis quarantineDeadline { 3'000 }; // after the third crash; later the request must be refused

struct Scenario {
    size_t hosts = 58;
    Millis reportEvery { 250 };
    size_t badRequests = 1;
    Millis minBadPause { 300 }; // between two sends of a bad request; at most five times as long
    bool loseCoordinator = false;
    bool disconnectHosts = false;
    bool otherCrashes = true; // servers crash at random, and a third of them loses power once
    Fingerprint hotRequestCount = 40; // different requests for the hot key
    int percentLeavingEarly = 0; // callers that disconnect before their answer, which then clears no request
};

struct Outcome {
    size_t crashes = 0; // by bad requests
    // The most sends of one bad request that reached servers later than `quarantineDeadline` after its third crash,
    // from hosts that were connected to the coordinator.
    size_t lateRetries = 0;
    size_t innocentsRefused = 0;
    size_t innocentsSent = 0;
    bool quarantined = false;
};

struct Server {
    std::string id;
    unsigned incarnation = 0;
    Instant upSince {};
    struct Running {
        Fingerprint request;
        size_t host;
        Instant endsAt;
    };
    std::vector<Running> running;

    std::string name() const { return id + "@" + std::to_string(incarnation); }
};

struct BadRequest {
    Fingerprint request = 0;
    Instant nextAt {};
    unsigned crashes = 0;
    size_t lateRetries = 0;
    Instant thirdCrashAt = Instant::max();
};

class Simulation {
public:
    Simulation(Scenario scenario, unsigned seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_hosts(scenario.hosts)
        , m_disconnectedUntil(scenario.hosts)
        , m_reportedTerm(scenario.hosts)
        , m_reportedAt(scenario.hosts)
    {
        m_aggregator.setReportInterval(scenario.reportEvery);
        for (size_t i = 0; i < servers; ++i)
            m_servers.push_back({ "s" + std::to_string(i) });
        for (size_t i = 0; i < scenario.badRequests; ++i)
            m_bad.push_back({ 1'000'000 + i, begin + Millis(below(2'000)) });
    }

    Outcome run()
    {
        const Instant powerLossAt = begin + Millis(5'000 + below(10'000));
        const Instant coordinatorLostAt = m_scenario.loseCoordinator ? begin + Millis(below(8'000)) : Instant::max();
        for (m_now = begin; m_now < begin + Millis(30'000); m_now += step) {
            finishWork();
            if (m_scenario.otherCrashes) {
                if (m_now >= powerLossAt && m_now < powerLossAt + step)
                    for (size_t i = 0; i < servers / 3; ++i)
                        crash(m_servers[i]);
                if (below(1'500) == 0)
                    crash(m_servers[static_cast<size_t>(below(servers))]);
                // The server with the hot key crashes every two seconds.
                if ((m_now - begin).count() % 2'000 == 0)
                    crash(m_servers.back());
            }
            if (m_now >= coordinatorLostAt && m_now < coordinatorLostAt + step)
                loseCoordinator();
            if (m_scenario.disconnectHosts && below(100) == 0)
                m_disconnectedUntil[pickHost()] = m_now + Millis(below(6'000));
            for (int i = 0; i < 4; ++i)
                sendInnocent();
            sendHot();
            for (auto& bad : m_bad)
                sendBad(bad);
            report();
            sendChanges();
        }
        return m_outcome;
    }

private:
    static constexpr int servers = 30;

    int below(int bound) { return static_cast<int>(m_random() % static_cast<unsigned>(bound)); }
    size_t pickHost() { return static_cast<size_t>(below(static_cast<int>(m_scenario.hosts))); }

    void crash(Server& server)
    {
        if (m_now < server.upSince)
            return;
        const std::string name = server.name();
        ++server.incarnation;
        server.upSince = m_now + restartDuration;
        std::vector<size_t> hosts;
        const auto interrupted = std::exchange(server.running, {});
        for (const auto& running : interrupted) {
            m_hosts[running.host].responseLost(name, running.request, m_now);
            hosts.push_back(running.host);
            // The caller retries once.
            if (running.request < 1'000'000)
                m_retries.emplace_back(running.request, m_now + Millis(100 + below(500)));
        }
        for (const size_t host : hosts)
            m_hosts[host].serverGone(name, m_now);
    }

    void finishWork()
    {
        for (auto& server : m_servers) {
            std::erase_if(server.running, [&](const Server::Running& running) {
                if (running.endsAt > m_now)
                    return false;
                if (below(100) >= m_scenario.percentLeavingEarly)
                    m_hosts[running.host].answered(running.request, m_now);
                return true;
            });
        }
    }

    bool send(Fingerprint request, size_t host, Server& server, bool innocent)
    {
        if (m_hosts[host].isQuarantined(request)) {
            m_outcome.innocentsRefused += innocent;
            return false;
        }
        if (m_now < server.upSince)
            return false; // no connection: nothing was sent
        m_outcome.innocentsSent += innocent;
        server.running.push_back({ request, host, m_now + workDuration });
        return true;
    }

    Server& anyServer() { return m_servers[static_cast<size_t>(below(servers))]; }

    void sendInnocent()
    {
        // A fifth of the requests repeat an earlier one, as lookups do.
        const bool repeated = below(5) == 0 && m_lastFresh > 200;
        const auto request
            = repeated ? 200 + static_cast<Fingerprint>(below(static_cast<int>(m_lastFresh) - 199)) : ++m_lastFresh;
        send(request, pickHost(), anyServer(), true);
        std::erase_if(m_retries, [&](const auto& retry) {
            if (retry.second > m_now)
                return false;
            send(retry.first, pickHost(), anyServer(), true);
            return true;
        });
    }

    void sendHot()
    {
        send(1 + static_cast<Fingerprint>(below(static_cast<int>(m_scenario.hotRequestCount))), pickHost(),
            m_servers.back(), true);
    }

    void sendBad(BadRequest& bad)
    {
        if (m_now < bad.nextAt)
            return;
        bad.nextAt
            = m_now + m_scenario.minBadPause + Millis(below(static_cast<int>(4 * m_scenario.minBadPause.count())));
        const size_t host = pickHost();
        Server& server = anyServer();
        if (!send(bad.request, host, server, false))
            return;
        const bool connected = m_now >= m_disconnectedUntil[host] + quarantineDeadline;
        if (m_now - bad.thirdCrashAt > quarantineDeadline && connected)
            m_outcome.lateRetries = std::max(m_outcome.lateRetries, ++bad.lateRetries);
        ++m_outcome.crashes;
        if (++bad.crashes == 3)
            bad.thirdCrashAt = m_now;
        crash(server);
    }

    void loseCoordinator()
    {
        const auto stored = m_aggregator.quarantined(m_now); // kept in the store
        m_aggregator.clear();
        for (const auto& request : stored)
            m_aggregator.restore(request);
        ++m_term;
        m_silentUntil = m_now + Millis(2'000);
    }

    void report()
    {
        for (size_t i = 0; i < m_scenario.hosts; ++i) {
            HostCrashTracker& host = m_hosts[i];
            const auto turn = static_cast<int64_t>(i) * step.count() % m_scenario.reportEvery.count();
            if (m_now < m_silentUntil || m_now < m_disconnectedUntil[i])
                continue;
            // Hosts learn of a new coordinator from the store, and report early what they have not reported.
            if (std::exchange(m_reportedTerm[i], m_term) != m_term)
                host.repeatToNewCoordinator();
            const bool regular = (m_now - begin).count() % m_scenario.reportEvery.count() == turn;
            const bool early = host.hasUnreported() && m_now - m_reportedAt[i] >= m_scenario.reportEvery * 2 / 5;
            if (!regular && !early)
                continue;
            m_reportedAt[i] = m_now;
            host.dropExpired(m_now);
            for (const auto& crash : host.takeCrashes())
                m_aggregator.crashed(crash, m_now);
            for (const Fingerprint request : host.takeAnswered())
                m_aggregator.answered(request);
            sendUpdate(host);
        }
    }

    void sendUpdate(HostCrashTracker& host)
    {
        const auto suspects = m_aggregator.suspects(m_now);
        std::set<Fingerprint> quarantined;
        for (const auto& request : m_aggregator.quarantined(m_now))
            quarantined.insert(request.request);
        m_outcome.quarantined |= !quarantined.empty();
        host.applyCoordinatorUpdate({ suspects.begin(), suspects.end() }, std::move(quarantined), m_now);
    }

    // The coordinator sends changes at once to the hosts that it can reach.
    void sendChanges()
    {
        if (m_now < m_silentUntil)
            return;
        const auto suspects = m_aggregator.suspects(m_now);
        const auto edition = m_aggregator.edition();
        if (std::exchange(m_sentSuspects, suspects) == suspects && std::exchange(m_sentEdition, edition) == edition)
            return;
        m_sentEdition = edition;
        for (size_t i = 0; i < m_scenario.hosts; ++i) {
            if (m_now >= m_disconnectedUntil[i])
                sendUpdate(m_hosts[i]);
        }
    }

    Scenario m_scenario;
    std::mt19937 m_random;
    std::vector<HostCrashTracker> m_hosts;
    std::vector<Instant> m_disconnectedUntil;
    std::vector<uint64_t> m_reportedTerm; // by host: the term of its last report
    std::vector<Instant> m_reportedAt; // by host
    std::vector<Fingerprint> m_sentSuspects;
    uint64_t m_sentEdition = 0;
    CrashAggregator m_aggregator;
    uint64_t m_term = 1;
    Instant m_silentUntil {};
    std::vector<Server> m_servers;
    std::vector<BadRequest> m_bad;
    std::vector<std::pair<Fingerprint, Instant>> m_retries;
    Fingerprint m_lastFresh = 100;
    Instant m_now {};
    Outcome m_outcome;
};

Outcome runMany(Scenario scenario, unsigned runs, unsigned firstSeed = 1)
{
    Outcome sum;
    for (unsigned seed = firstSeed; seed < firstSeed + runs; ++seed) {
        const Outcome one = Simulation(scenario, seed).run();
        sum.crashes += one.crashes;
        sum.lateRetries = std::max(sum.lateRetries, one.lateRetries); // the worst run
        sum.innocentsRefused += one.innocentsRefused;
        sum.innocentsSent += one.innocentsSent;
        sum.quarantined |= one.quarantined;
    }
    return sum;
}

}

namespace {

void checkThatBadRequestsAreStopped(Scenario scenario, unsigned runs)
{
    constexpr size_t maxLateRetries = 3;
    scenario.badRequests = 2;
    const Outcome outcome = runMany(scenario, runs);
    MESSAGE(scenario.hosts << " hosts: " << static_cast<double>(outcome.crashes) / runs
                           << " crashes by two requests, at most " << outcome.lateRetries << " late retries");
    CHECK(outcome.quarantined);
    CHECK(outcome.lateRetries <= maxLateRetries);
    CHECK(outcome.innocentsRefused == 0);
}

constexpr Millis fastBadPause { 55 }; // six requests a second on average: pauses last from this to five times as long

}

// Guards against hosts that keep forwarding a request that crashes every server that starts on it. A caller that
// repeats such a request each second crashes one server after the other for minutes, with everything that runs there.
TEST_CASE("a request that crashes servers is refused everywhere three seconds after the third crash")
{
    for (const auto& [hosts, every] : { std::pair<size_t, int>(4, 250), { 58, 250 }, { 300, 940 } }) {
        Scenario scenario;
        scenario.hosts = hosts;
        scenario.reportEvery = Millis(every);
        SUBCASE("as a rule") { }
        SUBCASE("while the coordinator is lost") { scenario.loseCoordinator = true; }
        SUBCASE("while hosts are cut off and come back") { scenario.disconnectHosts = true; }
        SUBCASE("six times a second") { scenario.minBadPause = fastBadPause; }
        checkThatBadRequestsAreStopped(scenario, 60);
    }
}

// Guards against a new coordinator that evaluates the hosts' reports too slowly, so that many more servers crash.
TEST_CASE("a request that comes six times a second is stopped in time also while the coordinator is lost")
{
    for (const auto& [hosts, every] : { std::pair<size_t, int>(4, 250), { 58, 250 }, { 300, 940 } }) {
        Scenario scenario;
        scenario.hosts = hosts;
        scenario.reportEvery = Millis(every);
        scenario.minBadPause = fastBadPause;
        scenario.loseCoordinator = true;
        checkThatBadRequestsAreStopped(scenario, 600);
    }
}

// Guards against requests that are refused for minutes because they were by chance at servers that crashed for other
// reasons.
TEST_CASE("no request is refused because its server crashed for another reason")
{
    constexpr unsigned runs = 1'000;
    Scenario scenario;
    scenario.hosts = 20;
    scenario.badRequests = 0;
    SUBCASE("many requests for a hot key") { }
    SUBCASE("one request for a hot key") { scenario.hotRequestCount = 1; }
    SUBCASE("callers that leave early") { scenario.percentLeavingEarly = 20; }
    SUBCASE("a lost coordinator") { scenario.loseCoordinator = true; }
    const Outcome outcome = runMany(scenario, runs, 10'000);
    MESSAGE(outcome.innocentsSent << " requests, " << outcome.innocentsRefused << " refused");
    CHECK(outcome.innocentsRefused == 0);
    CHECK_FALSE(outcome.quarantined);
}

// Guards against quarantine of a harmless request whose caller retries it while another request crashes the servers.
TEST_CASE("crashes attributed to a quarantined request count against no other request")
{
    constexpr Fingerprint bad = 1;
    constexpr Fingerprint innocent = 2;
    const Instant afterClearance = begin + Millis(1'000);
    CrashAggregator aggregator;
    for (const auto* server : { "a", "b", "c", "d" })
        aggregator.crashed({ server, { bad } }, begin);
    for (const auto* server : { "a", "b", "c" })
        aggregator.crashed({ server, { innocent } }, begin); // report of the same crashes by another host
    auto quarantined = aggregator.quarantined(afterClearance);
    REQUIRE(quarantined.size() == 1);
    CHECK(quarantined.front().request == bad);
    CHECK(aggregator.suspects(afterClearance).empty());
    aggregator.crashed({ "e", { bad, innocent } }, afterClearance);
    aggregator.crashed({ "e", { innocent } }, afterClearance); // a late report
    aggregator.crashed({ "f", { innocent } }, afterClearance);
    CHECK(aggregator.suspects(afterClearance).empty()); // a single crash without the quarantined request
    aggregator.crashed({ "g", { innocent } }, afterClearance);
    aggregator.crashed({ "h", { innocent } }, afterClearance);
    CHECK(aggregator.quarantined(afterClearance + Millis(1'000)).size() == 2); // three such crashes
}

TEST_CASE("state about bad requests is bounded and expires, and one answer clears a request")
{
    CrashAggregator aggregator;
    for (Fingerprint request = 1; request <= 20'000; ++request)
        aggregator.crashed({ "s" + std::to_string(request), { request } }, begin);
    for (Fingerprint request = 1; request <= 20'000; ++request)
        aggregator.crashed({ "t" + std::to_string(request), { request } }, begin);
    CHECK(aggregator.suspects(begin).size() <= 4'096);
    CHECK(aggregator.suspects(begin + Millis(61'000)).empty());
    const Instant afterClearance = begin + Millis(1'000); // hosts have had time to report an answer
    for (const auto* server : { "a", "b", "b", "b" })
        aggregator.crashed({ server, { 7 } }, begin);
    CHECK(aggregator.quarantined(afterClearance).empty()); // crashes of one server count once
    aggregator.answered(7);
    aggregator.crashed({ "c", { 7 } }, begin);
    CHECK(aggregator.quarantined(afterClearance).empty());
    aggregator.crashed({ "d", { 7 } }, begin);
    aggregator.crashed({ "e", { 7 } }, begin);
    CHECK(aggregator.quarantined(begin).empty());
    REQUIRE(aggregator.quarantined(afterClearance).size() == 1);
    // After ten minutes one attempt is allowed; another crash renews the quarantine for ten minutes.
    const Instant later = afterClearance + Millis(600'001);
    CHECK(aggregator.quarantined(later).empty());
    aggregator.crashed({ "f", { 7 } }, later);
    CHECK(aggregator.quarantined(later).size() == 1);
    aggregator.release(7);
    CHECK(aggregator.quarantined(later).empty());
}

TEST_CASE("events for the log cover each step from the second crash to the release")
{
    using Kind = CrashEvent::Kind;
    CrashAggregator aggregator;
    aggregator.crashed({ "a", { 7 } }, begin);
    CHECK(aggregator.takeEvents().empty());
    aggregator.crashed({ "b", { 7 } }, begin);
    aggregator.crashed({ "c", { 7 } }, begin);
    aggregator.suspects(begin + Millis(1'000));
    aggregator.release(7);
    const auto events = aggregator.takeEvents();
    REQUIRE(events.size() == 4);
    CHECK((events[0].kind == Kind::Suspected && events[0].server == "b" && events[0].crashes == 2));
    CHECK((events[1].kind == Kind::Suspected && events[1].server == "c" && events[1].crashes == 3));
    CHECK((events[2].kind == Kind::Quarantined && events[2].crashes == 3));
    CHECK((events[3].kind == Kind::Cleared && events[3].crashes == 3));
    CHECK(aggregator.takeEvents().empty());
}

// Guards against a new coordinator that never learns of the crashes that its predecessor counted.
TEST_CASE("a crash is repeated to a new coordinator, also if its predecessor listed no suspect for it")
{
    HostCrashTracker tracker;
    tracker.responseLost("a", 1, begin);
    tracker.serverGone("a", begin);
    CHECK(tracker.takeCrashes().size() == 1);
    tracker.applyCoordinatorUpdate({}, {}, begin); // requests with a single crash are not sent to hosts
    tracker.repeatToNewCoordinator();
    CHECK(tracker.takeCrashes().size() == 1);
    tracker.applyCoordinatorUpdate({ 1 }, {}, begin);
    tracker.applyCoordinatorUpdate({}, {}, begin); // the request has been cleared
    tracker.repeatToNewCoordinator();
    CHECK(tracker.takeCrashes().empty());
}

TEST_CASE("a reset connection or a lost answer is not a crash while the server is alive")
{
    HostCrashTracker tracker;
    tracker.responseLost("a", 1, begin);
    tracker.serverAlive("a");
    tracker.serverGone("a", begin + Millis(100));
    CHECK(tracker.takeCrashes().empty());
    tracker.responseLost("a", 2, begin);
    tracker.serverGone("a", begin + Millis(10'000)); // too late: the server went away for another reason
    CHECK(tracker.takeCrashes().empty());
}
