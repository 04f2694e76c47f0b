// Compares ways to choose the target of a forwarded request, on the pure decisions, with the same loads and seeds.
//
// A model of queues: each host has one processor, which serves requests in the order of their arrival, its own callers'
// and forwarded ones alike; then the request is at a backend server for a fixed time. A host refuses what would wait
// longer than its queue allows, and a host that stands still accepts everything and serves nothing.
//
// Prints a line for each load and way: forwarded requests of the busiest target over the mean of all targets, the share
// of forwarded requests that were refused or waited longer than the queue allows, the same of the targets' own
// requests, and the 99th percentile of the wait of forwarded ones.
#include "decisions/ForwardTargets.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace cumindale;

constexpr double serverSeconds = 0.005;
constexpr double longestWait = 0.2; // seconds in a host's queue
constexpr double stillSeconds = 1; // of a host that stands still
constexpr uint64_t seeds = 3;

struct Load {
    const char* name = "";
    size_t hosts = 0;
    size_t dataCentres = 0;
    double cutShare = 0; // of the hosts of the first data centre; above 1: of all hosts, less 1
    double requestsPerSecond = 0; // of each host's callers
    double ownShare = 0; // of a processor that a host's own requests take
    double seconds = 0;
    double weakShare = 0; // of the hosts that reach the servers: processors of half the speed
    double stillShare = 0; // of the same: hosts that stand still from the middle on
};

constexpr std::array<Load, 10> loads { {
    { "8 hosts, 5 cut off, 50/s", 8, 3, 1.625, 50, 0.16, 20 },
    { "8 hosts, 5 cut off, 50/s, busy", 8, 3, 1.625, 50, 0.3, 20 },
    { "984 hosts, 0.1 of a data centre, 50/s", 984, 4, 0.1, 50, 0.16, 4 },
    { "984 hosts, 0.5 of a data centre, 50/s", 984, 4, 0.5, 50, 0.16, 4 },
    { "984 hosts, 0.5 of a data centre, 50/s, busy", 984, 4, 0.5, 50, 0.3, 4 },
    { "984 hosts, 0.5 of a data centre, 5,182/s", 984, 4, 0.5, 5'182, 0.16, 0.2 },
    { "984 hosts, 0.5 of a data centre, 5,182/s, busy", 984, 4, 0.5, 5'182, 0.3, 0.2 },
    { "984 hosts, 0.1, one in ten half as fast", 984, 4, 0.1, 50, 0.3, 4, 0.1 },
    { "984 hosts, 0.5, one in ten half as fast", 984, 4, 0.5, 50, 0.16, 4, 0.1 },
    { "984 hosts, 0.1, one in ten stands still", 984, 4, 0.1, 50, 0.16, 4, 0, 0.1 },
} };

// A way to choose, on one host that is cut off.
class Way {
public:
    explicit Way(std::string dataCentre)
        : m_choice(std::move(dataCentre))
    {
    }
    virtual ~Way() = default;
    virtual std::string choose(uint64_t random) const = 0;
    ForwardChoice& choice() { return m_choice; }

protected:
    ForwardChoice m_choice;
};

class FewerInProgress final : public Way { // of two at random; if equal, in the same data centre
public:
    using Way::Way;
    std::string choose(uint64_t random) const override { return m_choice.choose({}, Instant {}, random)->host; }
};

class First final : public Way {
public:
    using Way::Way;
    std::string choose(uint64_t) const override { return m_choice.targets().front().host; }
};

class AtRandom final : public Way {
public:
    using Way::Way;
    std::string choose(uint64_t random) const override
    {
        return m_choice.targets()[random % m_choice.targets().size()].host;
    }
};

enum class WayName : uint8_t { FewerInProgress, FewerAnywhere, First, AtRandom };

constexpr std::array<std::pair<WayName, const char*>, 4> ways { {
    { WayName::FewerInProgress, "fewer in progress of two" },
    { WayName::FewerAnywhere, "the same, ties at random" },
    { WayName::First, "first of the list" },
    { WayName::AtRandom, "one at random" },
} };

std::unique_ptr<Way> makeWay(WayName name, const std::string& dataCentre)
{
    switch (name) {
    case WayName::FewerAnywhere:
        return std::make_unique<FewerInProgress>(""); // no target is in this data centre
    case WayName::First:
        return std::make_unique<First>(dataCentre);
    case WayName::AtRandom:
        return std::make_unique<AtRandom>(dataCentre);
    default:
        return std::make_unique<FewerInProgress>(dataCentre);
    }
}

struct Arrival {
    double at = 0;
    size_t host = 0;
};

struct Fleet {
    std::vector<ForwardTarget> hosts;
    std::vector<bool> cut;
    std::vector<double> service; // seconds of processor time for a request
    std::vector<bool> standsStill;
    std::vector<Arrival> arrivals;
    std::map<std::string, size_t> indices; // by name
};

Fleet fleetOf(const Load& load, uint64_t seed)
{
    Fleet fleet;
    std::mt19937_64 random(seed);
    std::vector<size_t> order;
    const bool ofAll = load.cutShare > 1;
    for (size_t i = 0; i < load.hosts; ++i) {
        const std::string dataCentre = "hall-" + std::to_string(i % load.dataCentres);
        const std::string name = "edge-" + dataCentre + "-" + std::to_string(i / load.dataCentres);
        fleet.hosts.push_back({ name, dataCentre, "10.1.0.1:7663" });
        fleet.indices[name] = i;
        if (ofAll || i % load.dataCentres == 0)
            order.push_back(i);
    }
    std::shuffle(order.begin(), order.end(), random);
    const double share = ofAll ? load.cutShare - 1 : load.cutShare;
    order.resize(static_cast<size_t>(std::lround(share * static_cast<double>(order.size()))));
    fleet.cut.resize(load.hosts);
    for (const size_t host : order)
        fleet.cut[host] = true;
    std::uniform_real_distribution<double> unit(0, 1);
    std::exponential_distribution<double> gap(load.requestsPerSecond);
    for (size_t host = 0; host < load.hosts; ++host) {
        const bool weak = unit(random) < load.weakShare;
        fleet.service.push_back((weak ? 2 : 1) * load.ownShare / load.requestsPerSecond);
        fleet.standsStill.push_back(unit(random) < load.stillShare);
        for (double at = gap(random); at < load.seconds; at += gap(random))
            fleet.arrivals.push_back({ at, host });
    }
    std::sort(
        fleet.arrivals.begin(), fleet.arrivals.end(), [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
    return fleet;
}

struct Outcome {
    std::vector<double> waits; // of forwarded requests, in seconds
    size_t forwarded = 0;
    size_t forwardedOver = 0;
    size_t own = 0; // of targets
    size_t ownOver = 0;
    double busiestOverMean = 0; // sum over the seeds
};

struct Ending {
    double at = 0;
    size_t sender = 0;
    size_t target = 0;
    bool operator<(const Ending& other) const { return at > other.at; } // the earliest first
};

class Run {
public:
    Run(const Load& load, const Fleet& fleet, WayName name, uint64_t seed, Outcome& outcome)
        : m_load(load)
        , m_fleet(fleet)
        , m_outcome(outcome)
        , m_random(seed + 1'000)
        , m_ways(fleet.hosts.size())
        , m_freeAt(fleet.hosts.size())
        , m_forwarded(fleet.hosts.size())
        , m_isTarget(fleet.hosts.size())
    {
        std::vector<ForwardTarget> reaching;
        for (size_t i = 0; i < fleet.hosts.size(); ++i) {
            if (!fleet.cut[i])
                reaching.push_back(fleet.hosts[i]);
        }
        ForwardPlan plan;
        plan.setHosts(reaching);
        for (size_t i = 0; i < fleet.hosts.size(); ++i) {
            if (!fleet.cut[i])
                continue;
            m_ways[i] = makeWay(name, fleet.hosts[i].dataCentre);
            m_ways[i]->choice().setTargets(plan.targetsOf(fleet.hosts[i].host, fleet.hosts[i].dataCentre));
            for (const auto& target : m_ways[i]->choice().targets())
                m_isTarget[fleet.indices.at(target.host)] = true;
        }
    }

    void play()
    {
        for (const Arrival& arrival : m_fleet.arrivals) {
            while (!m_endings.empty() && m_endings.top().at <= arrival.at) {
                const Ending& ending = m_endings.top();
                m_ways[ending.sender]->choice().ended(m_fleet.hosts[ending.target].host);
                m_endings.pop();
            }
            if (m_fleet.cut[arrival.host])
                forward(arrival);
            else
                serveOwn(arrival);
        }
        double most = 0;
        double sum = 0;
        double targets = 0;
        for (size_t i = 0; i < m_forwarded.size(); ++i) {
            most = std::max(most, m_forwarded[i]);
            sum += m_forwarded[i];
            targets += m_isTarget[i];
        }
        m_outcome.busiestOverMean += most / (sum / targets);
    }

private:
    // Returns the wait; above the longest one the request is refused, or late at a host that stands still.
    double enqueue(size_t host, double now)
    {
        const double stillFrom = m_load.seconds / 2;
        const bool still = m_fleet.standsStill[host] && now >= stillFrom && now < stillFrom + stillSeconds;
        const double start = std::max({ now, m_freeAt[host], still ? stillFrom + stillSeconds : 0 });
        if (still || start - now <= longestWait)
            m_freeAt[host] = start + m_fleet.service[host];
        return start - now;
    }

    void forward(const Arrival& arrival)
    {
        const std::string name = m_ways[arrival.host]->choose(m_random());
        const size_t target = m_fleet.indices.at(name);
        const double freeBefore = m_freeAt[target];
        const double wait = enqueue(target, arrival.at);
        const bool accepted = m_freeAt[target] != freeBefore;
        m_ways[arrival.host]->choice().started(name);
        const double time = accepted ? wait + m_fleet.service[target] + serverSeconds : 0;
        m_endings.push({ arrival.at + time, arrival.host, target });
        ++m_forwarded[target];
        ++m_outcome.forwarded;
        m_outcome.forwardedOver += wait > longestWait;
        m_outcome.waits.push_back(wait);
    }

    void serveOwn(const Arrival& arrival)
    {
        const double wait = enqueue(arrival.host, arrival.at);
        if (!m_isTarget[arrival.host])
            return;
        ++m_outcome.own;
        m_outcome.ownOver += wait > longestWait;
    }

    const Load& m_load;
    const Fleet& m_fleet;
    Outcome& m_outcome;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Way>> m_ways; // by host; null: it reaches the servers
    std::vector<double> m_freeAt; // by host: when its processor has served all that it accepted
    std::vector<double> m_forwarded; // requests, by target
    std::vector<bool> m_isTarget; // of a host that is cut off
    std::priority_queue<Ending> m_endings;
};

void compare(const Load& load)
{
    std::vector<Fleet> fleets;
    for (uint64_t seed = 1; seed <= seeds; ++seed)
        fleets.push_back(fleetOf(load, seed));
    std::printf("%s\n", load.name);
    for (const auto& [name, text] : ways) {
        Outcome outcome;
        for (uint64_t seed = 1; seed <= seeds; ++seed)
            Run(load, fleets[seed - 1], name, seed, outcome).play();
        std::sort(outcome.waits.begin(), outcome.waits.end());
        constexpr double percentile = 0.99;
        const auto at = static_cast<size_t>(percentile * static_cast<double>(outcome.waits.size()));
        const auto percent = [](size_t part, size_t all) {
            return 100 * static_cast<double>(part) / static_cast<double>(std::max<size_t>(1, all));
        };
        std::printf("  %-25s busiest/mean %5.2f  over capacity %6.2f%%  own %6.2f%%  p99 wait %7.1f ms\n", text,
            outcome.busiestOverMean / seeds, percent(outcome.forwardedOver, outcome.forwarded),
            percent(outcome.ownOver, outcome.own), 1'000 * outcome.waits[at]);
    }
}

}

int main()
{
    for (const Load& load : loads)
        compare(load);
    return 0;
}
