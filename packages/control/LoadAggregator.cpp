#include "control/LoadAggregator.h"

#include <algorithm>
#include <numeric>

namespace cumindale {

namespace {

    constexpr Millis reportLifetime { 5'000 }; // older reports are dropped
    constexpr Millis averageInterval { 1'000 };
    constexpr double newestSampleWeight = 0.1; // the average covers about the last twenty samples
    constexpr double minHotKeyLoad = 10; // ms of work per second: a hundredth of a slot
    constexpr double minHotKeyShare = 0.002; // of the service's load; keys above it get a slice of their own

}

void LoadAggregator::report(const std::string& host, const std::string& service, HostLoad load, Instant now)
{
    m_services[service].hosts[host] = { std::move(load), now };
}

std::vector<double> LoadAggregator::sliceLoad(const SliceTable& table, Instant now)
{
    ServiceLoads& loads = m_services[table.service];
    std::erase_if(loads.hosts, [now](const auto& entry) { return now - entry.second.second > reportLifetime; });
    const bool isDue = now - loads.averagedAt >= averageInterval;
    std::vector<double> sum(table.slices.size(), 0);
    bool anyReport = false;
    for (const auto& [host, entry] : loads.hosts) {
        if (entry.first.tableVersion != table.version)
            continue; // its slice indices are of another version; the host's next report will match
        anyReport = true;
        for (const auto& [slice, load] : entry.first.slices) {
            if (slice < sum.size())
                sum[slice] += load;
        }
    }
    // The first samples have equal weights, so that the first one doesn't dominate the average.
    if (isDue && anyReport)
        ++loads.samples;
    const double weight = std::max(newestSampleWeight, 1.0 / static_cast<double>(std::max<uint64_t>(1, loads.samples)));
    // The load of slices that have been merged since goes to the slices that now contain their begin points.
    std::map<uint64_t, double> remapped;
    for (const auto& [begin, load] : loads.average)
        remapped[table.slices[table.indexOf(begin)].begin] += load;
    loads.average = std::move(remapped);
    std::map<uint64_t, double> average;
    for (size_t i = 0; i < sum.size(); ++i) {
        const auto previous = loads.average.find(table.slices[i].begin);
        const double old = previous == loads.average.end() ? 0 : previous->second;
        const bool known = previous != loads.average.end();
        average[table.slices[i].begin] = !anyReport || !isDue ? old : known ? old + weight * (sum[i] - old) : sum[i];
    }
    if (isDue && anyReport)
        loads.averagedAt = now;
    loads.average = std::move(average);
    std::vector<double> result;
    for (const auto& slice : table.slices)
        result.push_back(loads.average[slice.begin]);
    if (std::accumulate(result.begin(), result.end(), 0.0) <= 0)
        result.clear();
    return result;
}

std::vector<HotKey> LoadAggregator::hotKeys(const SliceTable& table) const
{
    const auto loads = m_services.find(table.service);
    if (loads == m_services.end())
        return {};
    std::map<uint64_t, double> sum;
    double total = 0;
    for (const auto& [host, entry] : loads->second.hosts) {
        for (const auto& [slice, load] : entry.first.slices)
            total += load;
        for (const auto& [point, load] : entry.first.keys)
            sum[point] += load;
    }
    std::vector<HotKey> keys;
    for (const auto& [point, load] : sum) {
        if (load >= minHotKeyShare * total && load >= minHotKeyLoad)
            keys.push_back({ point, load });
    }
    std::sort(keys.begin(), keys.end(), [](const HotKey& a, const HotKey& b) { return a.load > b.load; });
    return keys;
}

}
