#include "decisions/RelayPlan.h"

#include <algorithm>
#include <map>

namespace cumindale {

namespace {

    bool isBetterRelay(const RelayCandidate* a, const RelayCandidate* b)
    {
        if (a->mayRelay != b->mayRelay)
            return a->mayRelay;
        return a->strength != b->strength ? a->strength > b->strength : a->name < b->name;
    }

    // Appends the groups of one data centre. `hosts` is sorted, best relays first.
    void planDataCentre(
        std::span<const RelayCandidate* const> hosts, const RelayOptions& options, std::vector<RelayGroup>& groups)
    {
        const auto eligible = static_cast<size_t>(
            std::count_if(hosts.begin(), hosts.end(), [](const RelayCandidate* host) { return host->mayRelay; }));
        const size_t groupsNeeded = (hosts.size() + options.maxGroupSize - 1) / options.maxGroupSize;
        const size_t relays
            = hosts.size() < options.minGroupSize || eligible < groupsNeeded ? hosts.size() : groupsNeeded;
        const size_t firstGroup = groups.size();
        for (size_t i = 0; i < hosts.size(); ++i) {
            if (i < relays)
                groups.push_back({ hosts[i]->name, {} });
            else
                groups[firstGroup + i % relays].members.push_back(hosts[i]->name);
        }
    }

    // Hosts are a few ms apart; a lost packet is retransmitted after 0.2 s.
    constexpr Millis baseDeliveryTimeout { 300 };
    constexpr size_t bytesPerMillisecond = 1'000; // four fifths of a host's smallest link, 10 Mbit/s
    constexpr size_t coordinatorsBytesPerMillisecond = 10'000; // the same of 100 Mbit/s; strong hosts coordinate

}

Millis deliveryTimeout(size_t bytes, size_t copies)
{
    return baseDeliveryTimeout + Millis(static_cast<int64_t>(bytes * copies / bytesPerMillisecond));
}

Millis fanoutTimeout(size_t bytes, size_t copies)
{
    const Millis allCopies(static_cast<int64_t>(bytes * copies / coordinatorsBytesPerMillisecond));
    return std::max(deliveryTimeout(bytes), baseDeliveryTimeout + allCopies);
}

std::vector<RelayGroup> planRelays(std::span<const RelayCandidate> candidates, const RelayOptions& options)
{
    std::map<std::string_view, std::vector<const RelayCandidate*>> byDataCentre;
    for (const auto& candidate : candidates)
        byDataCentre[candidate.dataCentre].push_back(&candidate);
    std::vector<RelayGroup> groups;
    for (auto& [dataCentre, hosts] : byDataCentre) {
        std::sort(hosts.begin(), hosts.end(), isBetterRelay);
        planDataCentre(hosts, options, groups);
    }
    return groups;
}

}
