// Requests that crash servers, among many that don't and servers that crash for other reasons.
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
constexpr Millis work { 100 };
constexpr Millis down { 2'500 }; // a server, after a crash
constexpr Millis calmAfter { 3'000 }; // from then on after the third crash nothing more is to come through

struct Load {
    size_t hosts = 58;
    Millis reportEvery { 250 };
    size_t badRequests = 1;
    Millis badPause { 300 }; // at least, between two comings of a bad request; five times as long at most
    bool loseCoordinator = false;
    bool cutHosts = false;
    bool otherCrashes = true; // servers flap, and a third of them loses power once
    Fingerprint hotRequests = 40; // different ones for the hot key
    int leaveEarly = 0; // of a hundred callers, before their answer: it clears nobody
};

struct Outcome {
    size_t crashes = 0; // by bad requests
    size_t lateRetries = 0; // at most of one of them at servers, from hosts in touch, later than `calmAfter` after the
                            // third crash of the request
    size_t innocentsRefused = 0;
    size_t innocentsSent = 0;
    bool quarantined = false;
};

struct Server {
    std::string id;
    unsigned life = 0;
    Instant upFrom {};
    struct Running {
        Fingerprint request;
        size_t host;
        Instant ends;
    };
    std::vector<Running> running;

    std::string name() const { return id + "@" + std::to_string(life); }
};

struct Bad {
    Fingerprint request = 0;
    Instant next {};
    unsigned crashes = 0;
    size_t lateRetries = 0;
    Instant third = Instant::max();
};

class History {
public:
    History(Load load, unsigned seed)
        : m_load(load)
        , m_random(seed)
        , m_hosts(load.hosts)
        , m_cutUntil(load.hosts)
        , m_toReport(load.hosts)
        , m_reported(load.hosts)
    {
        m_ledger.setReportInterval(load.reportEvery);
        for (size_t i = 0; i < servers; ++i)
            m_servers.push_back({ "s" + std::to_string(i) });
        for (size_t i = 0; i < load.badRequests; ++i)
            m_bad.push_back({ 1'000'000 + i, begin + Millis(below(2'000)) });
    }

    Outcome play()
    {
        const Instant powerOff = begin + Millis(5'000 + below(10'000));
        const Instant coordinatorLost = m_load.loseCoordinator ? begin + Millis(below(8'000)) : Instant::max();
        for (m_now = begin; m_now < begin + Millis(30'000); m_now += step) {
            finishWork();
            if (m_load.otherCrashes) {
                if (m_now >= powerOff && m_now < powerOff + step)
                    for (size_t i = 0; i < servers / 3; ++i)
                        crash(m_servers[i]);
                if (below(1'500) == 0)
                    crash(m_servers[static_cast<size_t>(below(servers))]);
                // One with a hot key, every two seconds.
                if ((m_now - begin).count() % 2'000 == 0)
                    crash(m_servers.back());
            }
            if (m_now >= coordinatorLost && m_now < coordinatorLost + step)
                loseCoordinator();
            if (m_load.cutHosts && below(100) == 0)
                m_cutUntil[pickHost()] = m_now + Millis(below(6'000));
            for (int i = 0; i < 4; ++i)
                sendInnocent();
            sendHot();
            for (auto& bad : m_bad)
                comeAgain(bad);
            report();
            tellChanges();
        }
        return m_outcome;
    }

private:
    static constexpr int servers = 30;

    int below(int most) { return static_cast<int>(m_random() % static_cast<unsigned>(most)); }
    size_t pickHost() { return static_cast<size_t>(below(static_cast<int>(m_load.hosts))); }

    void crash(Server& server)
    {
        if (m_now < server.upFrom)
            return;
        const std::string name = server.name();
        ++server.life;
        server.upFrom = m_now + down;
        std::vector<size_t> hosts;
        const auto cutOff = std::exchange(server.running, {});
        for (const auto& running : cutOff) {
            m_hosts[running.host].sendLost(name, running.request, m_now);
            hosts.push_back(running.host);
            // Its caller tries once more.
            if (running.request < 1'000'000)
                m_again.emplace_back(running.request, m_now + Millis(100 + below(500)));
        }
        for (const size_t host : hosts)
            m_hosts[host].serverGone(name, m_now);
    }

    void finishWork()
    {
        for (auto& server : m_servers) {
            std::erase_if(server.running, [&](const Server::Running& running) {
                if (running.ends > m_now)
                    return false;
                if (below(100) >= m_load.leaveEarly)
                    m_hosts[running.host].answered(running.request, m_now);
                return true;
            });
        }
    }

    bool send(Fingerprint request, size_t host, Server& server, bool innocent)
    {
        if (m_hosts[host].quarantined(request)) {
            m_outcome.innocentsRefused += innocent;
            return false;
        }
        if (m_now < server.upFrom)
            return false; // no connection: nothing was sent
        m_outcome.innocentsSent += innocent;
        server.running.push_back({ request, host, m_now + work });
        return true;
    }

    Server& anyServer() { return m_servers[static_cast<size_t>(below(servers))]; }

    void sendInnocent()
    {
        // A fifth come again with the same content within a while, as lookups do.
        const bool again = below(5) == 0 && m_fresh > 200;
        const auto request = again ? 200 + static_cast<Fingerprint>(below(static_cast<int>(m_fresh) - 199)) : ++m_fresh;
        send(request, pickHost(), anyServer(), true);
        std::erase_if(m_again, [&](const auto& retry) {
            if (retry.second > m_now)
                return false;
            send(retry.first, pickHost(), anyServer(), true);
            return true;
        });
    }

    void sendHot()
    {
        send(1 + static_cast<Fingerprint>(below(static_cast<int>(m_load.hotRequests))), pickHost(), m_servers.back(),
            true);
    }

    void comeAgain(Bad& bad)
    {
        if (m_now < bad.next)
            return;
        bad.next = m_now + m_load.badPause + Millis(below(static_cast<int>(4 * m_load.badPause.count())));
        const size_t host = pickHost();
        Server& server = anyServer();
        if (!send(bad.request, host, server, false))
            return;
        const bool inTouch = m_now >= m_cutUntil[host] + calmAfter;
        if (m_now - bad.third > calmAfter && inTouch)
            m_outcome.lateRetries = std::max(m_outcome.lateRetries, ++bad.lateRetries);
        ++m_outcome.crashes;
        if (++bad.crashes == 3)
            bad.third = m_now;
        crash(server);
    }

    void loseCoordinator()
    {
        const auto stored = m_ledger.quarantined(m_now); // as in the store
        m_ledger.clear();
        for (const auto& request : stored)
            m_ledger.restore(request);
        ++m_term;
        m_silentUntil = m_now + Millis(2'000);
    }

    void report()
    {
        for (size_t i = 0; i < m_load.hosts; ++i) {
            CrashWatch& host = m_hosts[i];
            const auto turn = static_cast<int64_t>(i) * step.count() % m_load.reportEvery.count();
            if (m_now < m_silentUntil || m_now < m_cutUntil[i])
                continue;
            // Hosts hear of a new coordinator from the store, and report news early.
            if (std::exchange(m_toReport[i], m_term) != m_term)
                host.repeatToNewCoordinator();
            const bool regular = (m_now - begin).count() % m_load.reportEvery.count() == turn;
            const bool early = host.hasNews() && m_now - m_reported[i] >= m_load.reportEvery * 2 / 5;
            if (!regular && !early)
                continue;
            m_reported[i] = m_now;
            host.forgetOld(m_now);
            for (const auto& crash : host.takeCrashes())
                m_ledger.crashed(crash, m_now);
            for (const Fingerprint request : host.takeAnswered())
                m_ledger.answered(request);
            tell(host);
        }
    }

    void tell(CrashWatch& host)
    {
        const auto suspects = m_ledger.suspects(m_now);
        std::set<Fingerprint> quarantined;
        for (const auto& request : m_ledger.quarantined(m_now))
            quarantined.insert(request.request);
        m_outcome.quarantined |= !quarantined.empty();
        host.told({ suspects.begin(), suspects.end() }, std::move(quarantined), m_now);
    }

    // The coordinator tells changes at once to those that it can reach.
    void tellChanges()
    {
        if (m_now < m_silentUntil)
            return;
        const auto suspects = m_ledger.suspects(m_now);
        const auto edition = m_ledger.edition();
        if (std::exchange(m_suspectsTold, suspects) == suspects && std::exchange(m_editionTold, edition) == edition)
            return;
        m_editionTold = edition;
        for (size_t i = 0; i < m_load.hosts; ++i) {
            if (m_now >= m_cutUntil[i])
                tell(m_hosts[i]);
        }
    }

    Load m_load;
    std::mt19937 m_random;
    std::vector<CrashWatch> m_hosts;
    std::vector<Instant> m_cutUntil;
    std::vector<uint64_t> m_toReport; // term that each host reported in
    std::vector<Instant> m_reported; // when, each host
    std::vector<Fingerprint> m_suspectsTold;
    uint64_t m_editionTold = 0;
    CrashLedger m_ledger;
    uint64_t m_term = 1;
    Instant m_silentUntil {};
    std::vector<Server> m_servers;
    std::vector<Bad> m_bad;
    std::vector<std::pair<Fingerprint, Instant>> m_again;
    Fingerprint m_fresh = 100;
    Instant m_now {};
    Outcome m_outcome;
};

Outcome playMany(Load load, unsigned histories, unsigned firstSeed = 1)
{
    Outcome sum;
    for (unsigned seed = firstSeed; seed < firstSeed + histories; ++seed) {
        const Outcome one = History(load, seed).play();
        sum.crashes += one.crashes;
        sum.lateRetries = std::max(sum.lateRetries, one.lateRetries); // worst
        sum.innocentsRefused += one.innocentsRefused;
        sum.innocentsSent += one.innocentsSent;
        sum.quarantined |= one.quarantined;
    }
    return sum;
}

}

namespace {

void checkThatBadRequestsAreStopped(Load load, unsigned histories)
{
    constexpr size_t mostRetries = 3;
    load.badRequests = 2;
    const Outcome outcome = playMany(load, histories);
    MESSAGE(load.hosts << " hosts: " << static_cast<double>(outcome.crashes) / histories
                       << " crashes by two requests, at most " << outcome.lateRetries << " late retries");
    CHECK(outcome.quarantined);
    CHECK(outcome.lateRetries <= mostRetries);
    CHECK(outcome.innocentsRefused == 0);
}

constexpr Millis sixTimesASecond { 55 }; // a pause of this to five times as long

}

// What callers saw: for minutes one server after the other fell over with everything that ran there. One caller asked
// for something that crashed whoever began with it, and asked again each second; every host sent it on.
TEST_CASE("a request that crashes servers is refused everywhere three seconds after the third crash")
{
    for (const auto& [hosts, every] : { std::pair<size_t, int>(4, 250), { 58, 250 }, { 300, 940 } }) {
        Load load;
        load.hosts = hosts;
        load.reportEvery = Millis(every);
        SUBCASE("as a rule") { }
        SUBCASE("while the coordinator is lost") { load.loseCoordinator = true; }
        SUBCASE("while hosts are cut off and come back") { load.cutHosts = true; }
        SUBCASE("six times a second") { load.badPause = sixTimesASecond; }
        checkThatBadRequestsAreStopped(load, 60);
    }
}

// Guards against a new coordinator that takes so long to weigh what it is told that many more servers crash.
TEST_CASE("a request that comes six times a second is stopped in time also while the coordinator is lost")
{
    for (const auto& [hosts, every] : { std::pair<size_t, int>(4, 250), { 58, 250 }, { 300, 940 } }) {
        Load load;
        load.hosts = hosts;
        load.reportEvery = Millis(every);
        load.badPause = sixTimesASecond;
        load.loseCoordinator = true;
        checkThatBadRequestsAreStopped(load, 600);
    }
}

// What callers saw: while servers crashed for reasons of their own, requests that were there by chance were refused for
// minutes.
TEST_CASE("no request is refused because its server crashed for another reason")
{
    constexpr unsigned histories = 1'000;
    Load load;
    load.hosts = 20;
    load.badRequests = 0;
    SUBCASE("many requests for a hot key") { }
    SUBCASE("one request for a hot key") { load.hotRequests = 1; }
    SUBCASE("callers that leave early") { load.leaveEarly = 20; }
    SUBCASE("a lost coordinator") { load.loseCoordinator = true; }
    const Outcome outcome = playMany(load, histories, 10'000);
    MESSAGE(outcome.innocentsSent << " requests, " << outcome.innocentsRefused << " refused");
    CHECK(outcome.innocentsRefused == 0);
    CHECK_FALSE(outcome.quarantined);
}

// Guards against an innocent request that its caller tries again and again while another one crashes each server.
TEST_CASE("crashes at which a quarantined request was accuse nobody else")
{
    constexpr Fingerprint bad = 1;
    constexpr Fingerprint innocent = 2;
    const Instant told = begin + Millis(1'000);
    CrashLedger ledger;
    for (const auto* server : { "a", "b", "c", "d" })
        ledger.crashed({ server, { bad } }, begin);
    for (const auto* server : { "a", "b", "c" })
        ledger.crashed({ server, { innocent } }, begin); // another host's report of the same crashes
    auto quarantined = ledger.quarantined(told);
    REQUIRE(quarantined.size() == 1);
    CHECK(quarantined.front().request == bad);
    CHECK(ledger.suspects(told).empty());
    ledger.crashed({ "e", { bad, innocent } }, told);
    ledger.crashed({ "e", { innocent } }, told); // late
    ledger.crashed({ "f", { innocent } }, told);
    CHECK(ledger.suspects(told).empty()); // one crash of its own
    ledger.crashed({ "g", { innocent } }, told);
    ledger.crashed({ "h", { innocent } }, told);
    CHECK(ledger.quarantined(told + Millis(1'000)).size() == 2); // three of its own
}

TEST_CASE("what is known of bad requests is bounded and lapses, and one answer clears a request")
{
    CrashLedger ledger;
    for (Fingerprint request = 1; request <= 20'000; ++request)
        ledger.crashed({ "s" + std::to_string(request), { request } }, begin);
    for (Fingerprint request = 1; request <= 20'000; ++request)
        ledger.crashed({ "t" + std::to_string(request), { request } }, begin);
    CHECK(ledger.suspects(begin).size() <= 4'096);
    CHECK(ledger.suspects(begin + Millis(61'000)).empty());
    const Instant told = begin + Millis(1'000); // hosts have had time to say that it was answered
    for (const auto* server : { "a", "b", "b", "b" })
        ledger.crashed({ server, { 7 } }, begin);
    CHECK(ledger.quarantined(told).empty()); // one server's crash counts once
    ledger.answered(7);
    ledger.crashed({ "c", { 7 } }, begin);
    CHECK(ledger.quarantined(told).empty());
    ledger.crashed({ "d", { 7 } }, begin);
    ledger.crashed({ "e", { 7 } }, begin);
    CHECK(ledger.quarantined(begin).empty());
    REQUIRE(ledger.quarantined(told).size() == 1);
    // After ten minutes one try; if it still crashes its server, ten minutes more.
    const Instant later = told + Millis(600'001);
    CHECK(ledger.quarantined(later).empty());
    ledger.crashed({ "f", { 7 } }, later);
    CHECK(ledger.quarantined(later).size() == 1);
    ledger.release(7);
    CHECK(ledger.quarantined(later).empty());
}

TEST_CASE("the ledger tells each step from the second crash to the release, for the log")
{
    using What = CrashEvent::What;
    CrashLedger ledger;
    ledger.crashed({ "a", { 7 } }, begin);
    CHECK(ledger.takeEvents().empty());
    ledger.crashed({ "b", { 7 } }, begin);
    ledger.crashed({ "c", { 7 } }, begin);
    ledger.suspects(begin + Millis(1'000));
    ledger.release(7);
    const auto events = ledger.takeEvents();
    REQUIRE(events.size() == 4);
    CHECK((events[0].what == What::Suspected && events[0].server == "b" && events[0].crashes == 2));
    CHECK((events[1].what == What::Suspected && events[1].server == "c" && events[1].crashes == 3));
    CHECK((events[2].what == What::Quarantined && events[2].crashes == 3));
    CHECK((events[3].what == What::Cleared && events[3].crashes == 3));
    CHECK(ledger.takeEvents().empty());
}

// Guards against a new coordinator that never hears of the crashes that its predecessor counted.
TEST_CASE("a crash is repeated to a new coordinator, also one that the former had no reason to name")
{
    CrashWatch watch;
    watch.sendLost("a", 1, begin);
    watch.serverGone("a", begin);
    CHECK(watch.takeCrashes().size() == 1);
    watch.told({}, {}, begin); // a single crash is not told to the hosts
    watch.repeatToNewCoordinator();
    CHECK(watch.takeCrashes().size() == 1);
    watch.told({ 1 }, {}, begin);
    watch.told({}, {}, begin); // it has been cleared
    watch.repeatToNewCoordinator();
    CHECK(watch.takeCrashes().empty());
}

TEST_CASE("a connection that is reset, a lost answer and a server that lives are no crashes")
{
    CrashWatch watch;
    watch.sendLost("a", 1, begin);
    watch.serverLives("a");
    watch.serverGone("a", begin + Millis(100));
    CHECK(watch.takeCrashes().empty());
    watch.sendLost("a", 2, begin);
    watch.serverGone("a", begin + Millis(10'000)); // long after: it left for another reason
    CHECK(watch.takeCrashes().empty());
}
