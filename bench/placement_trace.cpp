// Steps the placement policy over generated load traces (no cluster is simulated: moves take effect at the next
// step) and compares it with a baseline: rendezvous hashing weighted by slots, which ignores load.
//
// Prints a line of JSON for each trace and policy: imbalance (time-weighted mean and 99th percentile of max/mean of
// load over slots), the lower bound on imbalance set by the hottest key, churn (share of load that changed owner per
// hour, and its ratio to the minimum after a server loss) and unavailable key-seconds per million requests.
// --svg FOLDER also plots the imbalance over time.
#include "base/Hash.h"
#include "control/LoadAggregator.h"
#include "decisions/Placement.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <unordered_map>

ABSL_FLAG(std::string, svg, "", "folder for plots");
ABSL_FLAG(double, tolerance, cumindale::PlacementOptions().tolerance, "as PlacementOptions::tolerance");
ABSL_FLAG(std::vector<std::string>, only, {}, "traces to run; none: all");

namespace {

using namespace cumindale;
namespace json = boost::json;

constexpr int stepSeconds = 5; // same as AssignerOptions::rebalanceInterval
constexpr double workMillis = 4; // per request
constexpr double gracefulSeconds = 0.05; // wait of a key during a planned move; see bench/prove.sh leaves
constexpr double lossSeconds = 1.3; // wait of a key after its server froze; see bench/prove.sh freeze
constexpr size_t warmUpSteps = 24; // steps left out of the results

struct Trace {
    std::string name;
    size_t servers = 20;
    unsigned slots = 4;
    size_t keys = 20'000;
    double perSecond = 2'000; // request rate
    size_t steps = 360; // half an hour
    size_t hotTurnover = 0; // keys whose popularity rank is swapped with another key's each minute
    bool rollingRestart = false;
    bool loseDataCentre = false;
    bool addServer = false;
};

std::vector<Trace> traces()
{
    return {
        { "dalatech-steady" },
        { "dalatech-hot-set", 20, 4, 20'000, 2'000, 360, 530 },
        { "dalatech-rolling-restart", 20, 4, 20'000, 2'000, 360, 0, true },
        { "dalatech-centre-lost", 20, 4, 20'000, 2'000, 360, 0, false, true },
        { "dalatech-server-added", 20, 4, 20'000, 2'000, 360, 0, false, false, true },
        { "anadolu-steady", 14, 2, 10'000, 1'000 },
        { "anadolu-hot-set", 14, 2, 10'000, 1'000, 360, 530 },
        { "large-steady", 2'000, 4, 50'000, 200'000, 96 },
        { "large-centre-lost", 2'000, 4, 50'000, 200'000, 96, 0, false, true },
    };
}

// Zipf distribution over the keys with exponent 0.99. Hot-key turnover swaps the ranks of keys.
class Keys {
public:
    explicit Keys(const Trace& trace)
        : m_random(7)
    {
        double sum = 0;
        for (size_t i = 0; i < trace.keys; ++i) {
            m_points.push_back(pointOfKey(trace.name + std::to_string(i)));
            m_rate.push_back(1 / std::pow(static_cast<double>(i + 1), 0.99));
            sum += m_rate.back();
        }
        for (auto& rate : m_rate)
            rate *= trace.perSecond / sum;
        m_counts.resize(trace.keys);
    }

    void turnOver(size_t hottest)
    {
        std::uniform_int_distribution<size_t> any(0, m_points.size() - 1);
        for (size_t i = 0; i < std::min(hottest, m_points.size()); ++i)
            std::swap(m_points[i], m_points[any(m_random)]);
    }

    void step()
    {
        for (size_t i = 0; i < m_rate.size(); ++i)
            m_counts[i] = std::poisson_distribution<int>(m_rate[i] * stepSeconds)(m_random);
    }

    size_t size() const { return m_points.size(); }
    uint64_t point(size_t i) const { return m_points[i]; }
    double count(size_t i) const { return m_counts[i]; }
    double hottestShare() const
    {
        double total = 0;
        for (double rate : m_rate)
            total += rate;
        return m_rate.front() / total;
    }

private:
    std::mt19937_64 m_random;
    std::vector<uint64_t> m_points;
    std::vector<double> m_rate;
    std::vector<double> m_counts;
};

class Policy {
public:
    virtual ~Policy() = default;
    virtual void step(const std::vector<PlacementServer>&, const Keys&)
        = 0; // called once the request counts of the step are known
    virtual std::string ownerOf(uint64_t point) const = 0; // empty: no owner
    virtual size_t slices() const { return 0; }
};

// Weighted rendezvous hashing (highest random weight): -slots / ln(hash).
class RendezvousPolicy final : public Policy {
public:
    void step(const std::vector<PlacementServer>& servers, const Keys&) override
    {
        std::vector<std::pair<PlacementServer, uint64_t>> usable;
        for (const auto& server : servers) {
            if (server.usable)
                usable.push_back({ server, pointOfKey(server.name) });
        }
        const bool same = usable.size() == m_servers.size()
            && std::equal(usable.begin(), usable.end(), m_servers.begin(),
                [](const auto& a, const auto& b) { return a.second == b.second; });
        if (!same)
            m_owners.clear();
        m_servers = std::move(usable);
    }

    std::string ownerOf(uint64_t point) const override
    {
        const auto known = m_owners.find(point);
        if (known != m_owners.end())
            return known->second;
        return m_owners[point] = heaviest(point);
    }

private:
    std::string heaviest(uint64_t point) const
    {
        const PlacementServer* best = nullptr;
        double bestWeight = 0;
        for (const auto& [server, seed] : m_servers) {
            uint64_t mixed = (point ^ seed) * 0x9E3779B97F4A7C15ull;
            mixed ^= mixed >> 32;
            mixed *= 0xD6E8FEB86659FD93ull;
            mixed ^= mixed >> 32;
            const double unit = (static_cast<double>(mixed >> 11) + 0.5) / 0x1p53;
            const double weight = -static_cast<double>(server.slots) / std::log(unit);
            if (weight > bestWeight) {
                bestWeight = weight;
                best = &server;
            }
        }
        return best ? best->name : std::string();
    }

    std::vector<std::pair<PlacementServer, uint64_t>> m_servers;
    mutable std::unordered_map<uint64_t, std::string> m_owners; // cache, valid while the set of servers is unchanged
};

class LoadAwarePolicy final : public Policy {
public:
    void step(const std::vector<PlacementServer>& servers, const Keys& keys) override
    {
        PlacementInput input;
        input.servers = servers;
        m_options.tolerance = absl::GetFlag(FLAGS_tolerance);
        if (m_table.slices.empty())
            m_table = initialTable("s", input, m_options);
        m_now += Millis(stepSeconds * 1000);
        report(keys);
        input.sliceLoad = m_loads.sliceLoad(m_table, m_now);
        input.hotKeys = m_loads.hotKeys(m_table);
        splitForPlan(m_table, input, m_options);
        mergeForPlan(m_table, input, m_options);
        for (const Move& move : planMoves(m_table, input, m_options)) {
            Slice& slice = m_table.slices[move.slice];
            slice.owner = move.to == noServer ? noServer : m_table.internServer(servers[move.to].name);
            slice.state = move.to == noServer ? SliceState::Unowned : SliceState::Serving;
            slice.fence = m_table.nextFence++;
        }
    }

    std::string ownerOf(uint64_t point) const override
    {
        if (m_table.slices.empty())
            return {};
        return std::string(m_table.serverName(m_table.slices[m_table.indexOf(point)].owner));
    }

    size_t slices() const override { return m_table.slices.size(); }

private:
    void report(const Keys& keys)
    {
        HostLoad load;
        load.tableVersion = m_table.version;
        for (size_t i = 0; i < keys.size(); ++i) {
            const double perSecond = keys.count(i) * workMillis / stepSeconds;
            load.slices[m_table.indexOf(keys.point(i))] += perSecond;
            load.keys[keys.point(i)] = perSecond;
        }
        m_loads.report("host", m_table.service, std::move(load), m_now);
    }

    PlacementOptions m_options;
    SliceTable m_table;
    LoadAggregator m_loads;
    Instant m_now {};
};

struct Measure {
    std::vector<double> imbalance; // one value per step
    double moved = 0; // load that changed owner, in requests
    double movedFromUnusable = 0; // part of `moved` that left servers which became unusable
    double total = 0;
    double unavailable = 0; // total waiting time, in request-seconds
};

std::vector<PlacementServer> serversOf(const Trace& trace)
{
    std::vector<PlacementServer> servers;
    for (size_t i = 0; i < trace.servers; ++i)
        servers.push_back({ "server-" + std::to_string(100'000 + i), "dc-" + std::to_string(i % 3), trace.slots });
    return servers;
}

// Applies the faults of the trace at one step. Returns true if servers were lost, in which case keys wait longer.
bool changeServers(const Trace& trace, size_t step, std::vector<PlacementServer>& servers)
{
    if (trace.rollingRestart) { // servers are down for 30 seconds each, one after another
        for (size_t i = 0; i < servers.size(); ++i)
            servers[i].usable = step < warmUpSteps || (step - warmUpSteps) / 6 != i;
    }
    if (trace.loseDataCentre && step >= trace.steps / 2) {
        for (auto& server : servers)
            server.usable = server.dataCentre != "dc-1";
        return step == trace.steps / 2;
    }
    if (trace.addServer && step == trace.steps / 2)
        servers.push_back({ "server-999999", "dc-1", trace.slots });
    return false;
}

double imbalanceNow(const std::vector<PlacementServer>& servers, const std::map<std::string, double>& load)
{
    double slots = 0;
    double total = 0;
    double highestLoad = 0;
    for (const auto& server : servers) {
        if (!server.usable)
            continue;
        slots += server.slots;
        const auto found = load.find(server.name);
        if (found == load.end())
            continue;
        total += found->second;
        highestLoad = std::max(highestLoad, found->second / server.slots);
    }
    return total > 0 ? highestLoad / (total / slots) : 1;
}

Measure run(const Trace& trace, Policy& policy)
{
    Keys keys(trace);
    std::vector<PlacementServer> servers = serversOf(trace);
    Measure measure;
    std::vector<std::string> owners(keys.size());
    std::vector<uint64_t> points(keys.size());
    for (size_t step = 0; step < trace.steps; ++step) {
        const bool loss = changeServers(trace, step, servers);
        if (trace.hotTurnover && step % (60 / stepSeconds) == 0 && step > warmUpSteps)
            keys.turnOver(trace.hotTurnover);
        keys.step();
        policy.step(servers, keys);
        std::map<std::string, bool> usable;
        for (const auto& server : servers)
            usable[server.name] = server.usable;
        std::map<std::string, double> load;
        for (size_t i = 0; i < keys.size(); ++i) {
            const std::string owner = policy.ownerOf(keys.point(i));
            load[owner] += keys.count(i);
            const bool counted = step > warmUpSteps;
            if (counted)
                measure.total += keys.count(i);
            if (counted && points[i] == keys.point(i) && owner != owners[i]) {
                measure.moved += keys.count(i);
                measure.movedFromUnusable += usable[owners[i]] ? 0 : keys.count(i);
                measure.unavailable += keys.count(i) / stepSeconds * (loss ? lossSeconds : gracefulSeconds);
            }
            owners[i] = owner;
            points[i] = keys.point(i);
        }
        if (step > warmUpSteps)
            measure.imbalance.push_back(imbalanceNow(servers, load));
    }
    return measure;
}

double mean(const std::vector<double>& values)
{
    double sum = 0;
    for (double value : values)
        sum += value;
    return sum / static_cast<double>(values.size());
}

double percentile99(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<size_t>(0.99 * static_cast<double>(values.size() - 1))];
}

json::object lineOf(const Trace& trace, std::string_view name, const Policy& policy, const Measure& measure)
{
    const double hours = static_cast<double>(measure.imbalance.size() * stepSeconds) / 3600;
    const double perStep = measure.total / static_cast<double>(measure.imbalance.size());
    const auto rounded = [](double value) { return std::round(value * 1000) / 1000; };
    json::object line;
    line["trace"] = trace.name;
    line["policy"] = name;
    line["slices"] = policy.slices();
    line["imbalance"] = rounded(mean(measure.imbalance));
    line["imbalanceP99"] = rounded(percentile99(measure.imbalance));
    line["hottestKeyBound"] = rounded(std::max(1.0, Keys(trace).hottestShare() * static_cast<double>(trace.servers)));
    line["loadMovedPercentAnHour"] = rounded(100 * measure.moved / perStep / hours);
    line["movedOverNeeded"] = measure.movedFromUnusable > 0
        ? json::value(rounded(measure.moved / measure.movedFromUnusable))
        : json::value(nullptr);
    line["unavailableSecondsPerMillion"] = rounded(measure.unavailable / measure.total * 1e6);
    return line;
}

void draw(const std::string& folder, const Trace& trace, const Measure& naive, const Measure& loadAware)
{
    constexpr double width = 900;
    constexpr double height = 300;
    const double highest = std::max(percentile99(naive.imbalance), percentile99(loadAware.imbalance)) * 1.1;
    std::ofstream out(std::filesystem::path(folder) / (trace.name + ".svg"));
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << height + 40
        << "' font-family='sans-serif' font-size='13'><rect width='100%' height='100%' fill='white'/>"
        << "<text x='8' y='18'>" << trace.name << ": imbalance (max/mean of load over slots) over time, 1 to "
        << highest << "; grey naive, blue cumindale</text>";
    const auto line = [&](const std::vector<double>& values, const char* colour) {
        out << "<polyline fill='none' stroke='" << colour << "' points='";
        for (size_t i = 0; i < values.size(); ++i)
            out << static_cast<double>(i) * width / static_cast<double>(values.size()) << ','
                << 30 + height - (values[i] - 1) / (highest - 1) * height << ' ';
        out << "'/>";
    };
    line(naive.imbalance, "grey");
    line(loadAware.imbalance, "blue");
    out << "</svg>\n";
}

}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    const std::string folder = absl::GetFlag(FLAGS_svg);
    const auto only = absl::GetFlag(FLAGS_only);
    if (!folder.empty())
        std::filesystem::create_directories(folder);
    for (const auto& trace : traces()) {
        if (!only.empty() && std::find(only.begin(), only.end(), trace.name) == only.end())
            continue;
        RendezvousPolicy naivePolicy;
        LoadAwarePolicy loadAwarePolicy;
        const Measure naive = run(trace, naivePolicy);
        const Measure loadAware = run(trace, loadAwarePolicy);
        std::cout << json::serialize(lineOf(trace, "naive", naivePolicy, naive)) << '\n'
                  << json::serialize(lineOf(trace, "cumindale", loadAwarePolicy, loadAware)) << std::endl;
        if (!folder.empty())
            draw(folder, trace, naive, loadAware);
    }
    return 0;
}
