// Deterministic simulation of the routing protocol: hosts, servers and the store are plain values, messages may be
// lost, delayed or duplicated, and faults are drawn at random from a seed. The decisions are made by the production
// classes; the simulation only passes messages between them. A seed determines one history.
#pragma once

#include "decisions/Assigner.h"
#include "decisions/InFlight.h"
#include "decisions/RoutingLease.h"

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace model {

using namespace cumindale;

// Safety rules of the protocol. Tests switch one off at a time, to show that the exploration then finds a violation.
struct Guards {
    bool waitBeforeOwning = true; // for the lease and the longest work, before the second commit of a move
    bool majorityAcknowledges = true; // the first commit, before the wait starts
    bool routingLease = true; // required for dispatch
    bool distrustYoungIncarnations = true; // see StopGate: they may not know what their predecessor sent
    bool restartedHostsDoNotCount = true; // see RoutingLease::countsInMajorities()
    bool inFlightUntilDeadline = true; // also when the connection has ended
    bool absoluteDeadlines = true; // a server that resumes does not restart the time limit of a request
    bool waitForLoweredLimit = true; // until dispatches under the higher work limit have ended
};

struct Faults {
    int hosts = 3;
    int servers = 2;
    double lossProbability = 0.05; // per message, like the next two
    double duplicateProbability = 0.03;
    double delayProbability = 0.05; // by up to 3 s
    double pausePerSecond = 0.15; // of each host
    double restartPerSecond = 0.10;
    double freezePerSecond = 0.25; // of each server
    double partitionPerSecond = 0.15; // of the network, into two sides
    double replaceInPartitionPerSecond = 0; // of all hosts: one restarts on the other side of a partition
    double storeDownPerSecond = 0.10;
    double lostAnswerProbability = 0.10; // of a store write that took effect
    double leavePerSecond = 0.30; // of each server: it starts or stops leaving
    double limitChangePerSecond = 0.30; // operators change the work limit
    int64_t milliseconds = 9'000;
    int64_t faultsEndAt = 9'000; // no faults from then on, so that progress is expected
};

struct Outcome {
    size_t twoOwners = 0; // times that a server started work while another one was working for the same key
    size_t tableRegressions = 0; // adoptions of an older table than the same incarnation had adopted before
    size_t dispatched = 0;
    size_t ownersGiven = 0;
    bool servedAtEnd = false; // every key was dispatched within the last two seconds
};

class Simulation {
public:
    Simulation(uint64_t seed, Faults, Guards);
    Outcome run();

private:
    static constexpr int64_t stepMillis = 25;
    static constexpr int64_t beatMillis = 100;
    static constexpr int64_t workMillis = 1'000; // the work limit unless operators lower it
    static constexpr int64_t leaderLeaseMillis = 2'000;

    struct Payload { // a host's state as sent in a message
        int from = 0;
        Instant askedAt; // when the request was sent; the answer repeats it
        bool isAnswer = false;
        KnownVersions known;
        bool counts = false;
        HostReport report;
        std::shared_ptr<const Roster> roster;
        std::shared_ptr<const SliceTable> table;
    };

    struct Message {
        int64_t at = 0;
        uint64_t order = 0;
        int to = 0;
        Payload payload;
        bool operator>(const Message& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    struct OpenDispatch {
        int server = 0;
        DispatchId id = 0;
        int64_t deadline = 0;
    };

    struct Host {
        std::string name;
        std::unique_ptr<RoutingLease> lease;
        std::shared_ptr<const Roster> roster;
        std::shared_ptr<const SliceTable> known; // newest one received
        std::shared_ptr<const SliceTable> adopted; // used by the dispatching thread
        int64_t adoptAt = 0;
        uint64_t leaseVersion = 0;
        Instant leaseUntil {};
        InFlight inFlight;
        std::vector<OpenDispatch> open;
        uint64_t incarnation = 0;
        int64_t startedAt = 0;
        int64_t pausedUntil = 0;
        int64_t nextBeat = 0;
        int64_t nextRead = 0;
        HostReports reports; // received from the other hosts
        std::map<std::string, int64_t, std::less<>> heardAt;
        // Assigner.
        int64_t term = 0; // leader revision with which this host won the election; 0: not leader
        int64_t leaderLeaseUntil = 0;
        std::unique_ptr<ServiceAssigner> assigner;
        std::unique_ptr<RosterAssigner> rosterAssigner;
    };

    struct Work {
        int host = 0;
        uint64_t incarnation = 0;
        DispatchId id = 0;
        uint64_t point = 0;
        int64_t arriveAt = 0;
        int64_t deadline = 0; // absolute time
        int64_t begin = -1;
        int64_t end = -1;
    };

    struct Server {
        std::string name;
        int64_t frozenUntil = 0;
        bool leaving = false;
        std::vector<Work> work;
    };

    bool chance(double probability) { return std::uniform_real_distribution<double>(0, 1)(m_random) < probability; }
    int64_t randomBetween(int64_t least, int64_t most)
    {
        return std::uniform_int_distribution<int64_t>(least, most)(m_random);
    }
    bool faultsActive() const { return m_now < m_faults.faultsEndAt; }
    Instant now() const { return instantFromMillis(m_now); }
    bool connected(int a, int b) const { return !m_partitioned || m_side[a] == m_side[b]; }
    bool storeAnswers(const Host&) const;

    void injectFaults();
    void endFaults();
    void restart(Host&);
    void deliver();
    void receive(Host&, const Payload&);
    void learn(Host&, std::shared_ptr<const Roster>, std::shared_ptr<const SliceTable>);
    void updateLease(Host&);
    void send(int from, int to, Payload);
    Payload payloadOf(int index) const;
    HostReport reportOf(const Host&) const;
    void stepHost(int index);
    void readStore(Host&);
    void adopt(Host&);
    void dispatch(int index);
    void campaign(Host&);
    void assign(Host&);
    void stepServers();
    void countOverlaps(size_t server, const Work&);

    Faults m_faults;
    Guards m_guards;
    std::mt19937_64 m_random;
    int64_t m_now = 0;
    uint64_t m_lastOrder = 0;
    std::vector<Host> m_hosts;
    std::vector<Server> m_servers;
    std::vector<int> m_side;
    bool m_partitioned = false;
    int64_t m_partitionedUntil = 0;
    int64_t m_configuredWorkLimit = workMillis;
    std::priority_queue<Message, std::vector<Message>, std::greater<>> m_messages;
    std::vector<uint64_t> m_points;
    std::map<uint64_t, int64_t> m_lastDispatch;
    Outcome m_outcome;

    // The store.
    int64_t m_storeDownUntil = 0;
    std::shared_ptr<const Roster> m_storeRoster;
    std::shared_ptr<const SliceTable> m_storeTable = std::make_shared<SliceTable>();
    int64_t m_leaderRevision = 0;
    int m_leader = -1;
    int64_t m_leaderLeaseUntil = 0;
};

}
