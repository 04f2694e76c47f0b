#include "decisions/BrokerPlan.h"

#include "decisions/RendezvousHash.h"

#include <algorithm>
#include <charconv>
#include <map>

namespace cumindale {

namespace {

    struct DataCentre {
        std::vector<const BrokerCandidate*> hosts;
        size_t brokers = 0;

        // Priority for the next broker by the Sainte-Laguë method: unlike with rounded shares, one host more or less
        // moves one broker at most between two data centres.
        double claim() const
        {
            return brokers < hosts.size() ? static_cast<double>(hosts.size()) / static_cast<double>(2 * brokers + 1)
                                          : 0;
        }
    };

    bool isBetterBroker(const BrokerCandidate* a, const BrokerCandidate* b)
    {
        return a->strength != b->strength ? a->strength > b->strength : a->host < b->host;
    }

    constexpr char serverPoolPrefix = '=';
    constexpr char servicePoolPrefix = '#';
    constexpr char indexEnd = '/';

}

std::vector<std::string> planBrokers(std::span<const BrokerCandidate> candidates, const BrokerPlanOptions& options)
{
    std::map<std::string_view, DataCentre> dataCentres;
    for (const auto& candidate : candidates)
        dataCentres[candidate.dataCentre].hosts.push_back(&candidate);

    const size_t inProportion = (candidates.size() + options.hostsPerBroker - 1) / options.hostsPerBroker;
    size_t left = std::min(candidates.size(), std::max(options.minBrokers, inProportion));
    if (left >= dataCentres.size()) {
        for (auto& [name, dataCentre] : dataCentres)
            dataCentre.brokers = 1;
        left -= dataCentres.size();
    }
    for (; left; --left) {
        const auto next = std::max_element(dataCentres.begin(), dataCentres.end(),
            [](const auto& a, const auto& b) { return a.second.claim() < b.second.claim(); });
        ++next->second.brokers;
    }

    std::vector<std::string> brokers;
    for (auto& [name, dataCentre] : dataCentres) {
        std::sort(dataCentre.hosts.begin(), dataCentre.hosts.end(), isBetterBroker);
        for (size_t i = 0; i < dataCentre.brokers; ++i)
            brokers.push_back(dataCentre.hosts[i]->host);
    }
    std::sort(brokers.begin(), brokers.end());
    return brokers;
}

std::vector<size_t> brokersOf(std::span<const Broker> brokers, std::string_view pool, size_t count)
{
    struct Ranked {
        uint64_t hash = 0;
        size_t index = 0;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(brokers.size());
    for (size_t i = 0; i < brokers.size(); ++i)
        ranked.push_back({ rendezvousHash(brokers[i].host, pool), i });
    count = std::min(count, ranked.size());
    const auto end = ranked.begin() + static_cast<ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), end, ranked.end(), [&](const Ranked& a, const Ranked& b) {
        return a.hash != b.hash ? a.hash > b.hash : brokers[a.index].host < brokers[b.index].host;
    });
    std::vector<size_t> indices(count);
    std::transform(ranked.begin(), end, indices.begin(), [](const Ranked& one) { return one.index; });
    return indices;
}

std::string poolOfServer(std::string_view server)
{
    std::string pool(1, serverPoolPrefix);
    pool += server;
    return pool;
}

size_t poolCount(size_t servers)
{
    size_t pools = 1;
    while (servers > pools * maxServersPerPool)
        pools *= 2;
    return pools;
}

std::string poolOfService(std::string_view service, size_t index)
{
    std::string pool(1, servicePoolPrefix);
    pool += std::to_string(index);
    pool += indexEnd;
    pool += service;
    return pool;
}

size_t poolIndexOf(std::string_view server, size_t pools)
{
    return pools ? static_cast<size_t>(rendezvousHash(server, {}) % pools) : 0;
}

PoolName parsePool(std::string_view pool)
{
    PoolName name;
    if (pool.starts_with(serverPoolPrefix))
        name.server = pool.substr(1);
    if (!pool.starts_with(servicePoolPrefix))
        return name;
    const char* const end = pool.data() + pool.size();
    const auto parsed = std::from_chars(pool.data() + 1, end, name.index);
    if (parsed.ec == std::errc() && parsed.ptr != end && *parsed.ptr == indexEnd)
        name.service = { parsed.ptr + 1, static_cast<size_t>(end - parsed.ptr - 1) };
    return name;
}

}
