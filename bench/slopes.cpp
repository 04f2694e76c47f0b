// Microbenchmarks of the cost per unit of state, per message and per decision. docs/CAPACITY.md extrapolates from
// these costs; bounds.json limits their ratios within one run.
#include "base/Hash.h"
#include "control/ClusterView.h"
#include "control/LoadAggregator.h"
#include "decisions/Assigner.h"
#include "decisions/HotKeys.h"
#include "decisions/Placement.h"
#include "decisions/RoutingLease.h"
#include "decisions/TableCodec.h"
#include "peers/Wire.h"
#include "resources/ResourceCodec.h"

#include <benchmark/benchmark.h>
#include <cmath>
#include <numeric>
#include <random>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace {

using namespace cumindale;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

constexpr size_t initialSlicesPerServer = 20;

PlacementInput inputOf(size_t servers)
{
    PlacementInput input;
    for (size_t i = 0; i < servers; ++i)
        input.servers.push_back({ "server-" + std::to_string(100'000 + i), "dc-" + std::to_string(i % 3), 4 });
    return input;
}

SliceTable tableOf(size_t slices)
{
    PlacementOptions options;
    options.initialSlicesPerServer = initialSlicesPerServer;
    const PlacementInput input = inputOf(std::max<size_t>(1, slices / initialSlicesPerServer));
    SliceTable table = initialTable("tracing", input, options);
    table.version = 1;
    std::mt19937_64 random(1);
    for (const Move& move : planMoves(table, input, options)) {
        Slice& slice = table.slices[move.slice];
        slice.owner = table.internServer(input.servers[move.to].name);
        slice.state = SliceState::Serving;
        slice.fence = 1 + random() % 1'000'000;
    }
    table.nextFence = 1'000'001;
    return table;
}

// Random loads with a few slices much heavier than the rest, as with Zipf-distributed keys.
std::vector<double> loadsOf(size_t slices)
{
    std::vector<double> loads;
    for (size_t i = 0; i < slices; ++i)
        loads.push_back(1 + 100 / std::pow(static_cast<double>(i % 997 + 1), 0.99));
    std::shuffle(loads.begin(), loads.end(), std::mt19937_64(2));
    return loads;
}

void lookupByIndex(benchmark::State& state)
{
    const SliceTable table = tableOf(static_cast<size_t>(state.range(0)));
    const SliceIndex index(table);
    std::mt19937_64 random(3);
    for (auto _ : state)
        benchmark::DoNotOptimize(table.slices[index.indexOf(random())].owner);
}
BENCHMARK(lookupByIndex)->Arg(1'000)->Arg(40'000);

void lookupBySearch(benchmark::State& state) // baseline: binary search
{
    const SliceTable table = tableOf(static_cast<size_t>(state.range(0)));
    std::mt19937_64 random(3);
    for (auto _ : state)
        benchmark::DoNotOptimize(table.slices[table.indexOf(random())].owner);
}
BENCHMARK(lookupBySearch)->Arg(1'000)->Arg(40'000);

void keyToOwner(benchmark::State& state)
{
    const SliceTable table = tableOf(40'000);
    const SliceIndex index(table);
    const std::string key = "case-1234567890";
    for (auto _ : state)
        benchmark::DoNotOptimize(table.slices[index.indexOf(pointOfKey(key))].owner);
}
BENCHMARK(keyToOwner);

void encodeWholeTable(benchmark::State& state)
{
    const SliceTable table = tableOf(static_cast<size_t>(state.range(0)));
    size_t bytes = 0;
    for (auto _ : state)
        bytes = encodeTable(table).size();
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["bytesPerSlice"] = static_cast<double>(bytes) / static_cast<double>(table.slices.size());
}
BENCHMARK(encodeWholeTable)->Arg(1'000)->Arg(40'000);

void decodeAndIndexTable(benchmark::State& state)
{
    const std::string bytes = encodeTable(tableOf(static_cast<size_t>(state.range(0))));
    for (auto _ : state) {
        const auto table = decodeTable(bytes);
        const SliceIndex index(*table);
        benchmark::DoNotOptimize(index.indexOf(1));
    }
    state.counters["memoryPerSlice"]
        = sizeof(Slice) + 4.0 * sizeof(uint32_t); // the index has up to four buckets per slice
}
BENCHMARK(decodeAndIndexTable)->Arg(1'000)->Arg(40'000);

void planEven(benchmark::State& state) // argument: servers, with 20 slices each
{
    const auto servers = static_cast<size_t>(state.range(0));
    PlacementInput input = inputOf(servers);
    const SliceTable table = tableOf(servers * initialSlicesPerServer);
    input.sliceLoad = loadsOf(table.slices.size());
    PlacementOptions options;
    options.initialSlicesPerServer = initialSlicesPerServer;
    for (auto _ : state)
        benchmark::DoNotOptimize(planMoves(table, input, options).size());
}
BENCHMARK(planEven)->Arg(250)->Arg(500)->Arg(1'000)->Arg(2'000)->Unit(benchmark::kMillisecond);

void planLoss(benchmark::State& state)
{
    const auto servers = static_cast<size_t>(state.range(0));
    PlacementInput input = inputOf(servers);
    const SliceTable table = tableOf(servers * initialSlicesPerServer);
    input.sliceLoad = loadsOf(table.slices.size());
    input.servers[servers / 2].usable = false;
    PlacementOptions options;
    options.churnBudget = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(planMoves(table, input, options).size());
}
BENCHMARK(planLoss)->Arg(500)->Arg(2'000)->Unit(benchmark::kMillisecond);

Roster rosterOf(size_t hosts)
{
    Roster roster;
    roster.version = 1;
    for (size_t i = 0; i < hosts; ++i)
        roster.members.push_back({ "host-" + std::to_string(1000 + i), "dc-1", "127.0.0.1", 1, 2, 3 });
    return roster;
}

void freshnessPerAnswer(benchmark::State& state) // argument: roster size; one answer, then a lease renewal
{
    const auto hosts = static_cast<size_t>(state.range(0));
    const Roster roster = rosterOf(hosts);
    RoutingLease freshness("host-1000", {});
    freshness.updateRoster(roster);
    freshness.updateTableVersion("tracing", 1);
    const KnownVersions versions { 1, { { "tracing", 1 } } };
    freshness.recordStoreAnswer(instantFromMillis(1), versions);
    int64_t now = 1;
    for (auto _ : state) {
        const auto& peer = roster.members[1 + static_cast<size_t>(++now) % (hosts - 1)].name;
        freshness.recordPeerAnswer(peer, instantFromMillis(now), versions, true);
        benchmark::DoNotOptimize(freshness.validUntil("tracing", instantFromMillis(now)));
    }
}
BENCHMARK(freshnessPerAnswer)->Arg(10)->Arg(50)->Arg(250);

PeerState stateOf(size_t tables, size_t servers)
{
    PeerState state;
    state.known.roster = 17;
    for (size_t i = 0; i < tables; ++i) {
        state.known.tables["service-" + std::to_string(i)] = 123'456;
        state.report.adoptedTables["service-" + std::to_string(i)] = 123'456;
    }
    for (size_t i = 0; i < servers; ++i)
        state.report.sights["server-" + std::to_string(100'000 + i)] = Reachability::Reachable;
    return state;
}

// Encodes a heartbeat, decodes it and converts it to the internal types. Reachability of servers is sent only together
// with a state.
void beatCodec(benchmark::State& state) // argument: 0 for no change, n for a state with the reachability of n servers
{
    wire::Beat beat;
    beat.sender = "host-1000";
    beat.sequence = int64_t(1'796'237'147'105) << 10;
    beat.holds = beat.sequence;
    if (state.range(0))
        beat.__set_state(toWire(stateOf(2, static_cast<size_t>(state.range(0)))));
    size_t bytes = 0;
    for (auto _ : state) {
        const auto buffer = std::make_shared<TMemoryBuffer>();
        TCompactProtocol protocol(buffer);
        beat.write(&protocol);
        bytes = buffer->available_read();
        wire::Beat read;
        read.read(&protocol);
        if (read.__isset.state)
            benchmark::DoNotOptimize(fromWire(read.state));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(beatCodec)->Arg(0)->Arg(20)->Arg(200);

void gateObserve(benchmark::State& state) // argument: hosts; one stopping slice checks the reports of all hosts
{
    const auto hosts = static_cast<size_t>(state.range(0));
    const Roster roster = rosterOf(hosts);
    HostReports reports;
    for (const auto& member : roster.members) {
        HostReport report;
        report.age = Millis(1'000'000);
        report.counts = true;
        report.adoptedTables["tracing"] = 5;
        reports[member.name] = report;
    }
    StopGate gate("tracing", 0, 5, Millis(1000), {});
    for (auto _ : state)
        gate.observe(roster, reports, instantFromMillis(1));
}
BENCHMARK(gateObserve)->Arg(10)->Arg(250);

void hotKeyAdd(benchmark::State& state)
{
    HotKeys keys(1024);
    std::mt19937_64 random(5);
    std::vector<uint64_t> points;
    points.reserve(100'000);
    for (int i = 0; i < 100'000; ++i)
        points.push_back(static_cast<uint64_t>(std::pow(10'000, std::uniform_real_distribution<double>(0, 1)(random))));
    size_t i = 0;
    for (auto _ : state)
        keys.add(points[++i % points.size()], 1000);
}
BENCHMARK(hotKeyAdd);

std::string serverText(size_t i)
{
    ResourceDocument document;
    document.kind = "BackendServer";
    document.name = "server-" + std::to_string(100'000 + i);
    document.spec = { { "service", "tracing" }, { "address", "10.0.0.1" }, { "port", 7200 }, { "dataCentre", "dc-1" },
        { "slots", 4 }, { "connections", 120 } };
    return encodeStoredResource({ document, "0123456789abcdef" });
}

void configurationChange(benchmark::State& state) // argument: declared servers; a host receives one change
{
    const auto servers = static_cast<size_t>(state.range(0));
    ClusterView view;
    RangeReply reply;
    reply.status = StoreStatus::Ok;
    reply.revision = 10;
    double bytes = 0;
    for (size_t i = 0; i < servers; ++i) {
        reply.values.push_back(
            { resourceKey("BackendServer", "server-" + std::to_string(100'000 + i)), serverText(i), 5, 5 });
        bytes += static_cast<double>(reply.values.back().value.size());
    }
    view.applySnapshot(reply);
    int64_t revision = 10;
    for (auto _ : state) {
        ++revision;
        const std::vector<WatchEvent> events { { false,
            { reply.values.front().key, reply.values.front().value, revision, 5 } } };
        benchmark::DoNotOptimize(view.applyEvents(revision, events).resources);
    }
    state.counters["bytesPerResource"] = bytes / static_cast<double>(servers);
}
BENCHMARK(configurationChange)->Arg(20)->Arg(2'000)->Unit(benchmark::kMicrosecond);

void loadSum(benchmark::State& state) // argument: hosts, 2,000 busy slices each; the assigner's sum
{
    const SliceTable table = tableOf(2'000);
    LoadAggregator book;
    int64_t now = 1'000'000;
    for (auto _ : state) {
        now += 1'000;
        for (int64_t host = 0; host < state.range(0); ++host) {
            HostLoad load;
            load.tableVersion = table.version;
            for (size_t i = 0; i < table.slices.size(); ++i)
                load.slices[i] = 1;
            book.report("host-" + std::to_string(host), "tracing", std::move(load), instantFromMillis(now));
        }
        benchmark::DoNotOptimize(book.sliceLoad(table, instantFromMillis(now)).size());
    }
}
BENCHMARK(loadSum)->Arg(10)->Arg(100)->Unit(benchmark::kMillisecond);

}

BENCHMARK_MAIN();
