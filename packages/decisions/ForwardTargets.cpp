#include "decisions/ForwardTargets.h"

#include "decisions/ListChecksum.h"
#include "decisions/RendezvousHash.h"

#include <algorithm>

namespace cumindale {

namespace {

    constexpr std::string_view ringSeed = "forward";

    uint64_t entryChecksum(const ForwardTarget& target)
    {
        constexpr uint64_t odd = 0x9e3779b97f4a7c15; // tells the two apart
        return rendezvousHash(target.host, target.address) * odd + rendezvousHash(target.dataCentre, target.address);
    }

}

// --- At the coordinator

void ForwardPlan::setHosts(std::vector<ForwardTarget> hosts)
{
    m_hosts = std::move(hosts);
    m_checksums.clear();
    m_ring.clear();
    m_rings.clear();
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        m_checksums.push_back(entryChecksum(m_hosts[i]));
        m_ring.push_back({ rendezvousHash(m_hosts[i].host, ringSeed), i });
    }
    std::sort(m_ring.begin(), m_ring.end(), [&](const Point& a, const Point& b) {
        return a.hash != b.hash ? a.hash < b.hash : m_hosts[a.index].host < m_hosts[b.index].host;
    });
    for (const Point& point : m_ring)
        m_rings[m_hosts[point.index].dataCentre].push_back(point);
}

// Appends the `count` hosts that follow on the ring and aren't chosen yet.
void ForwardPlan::append(
    const Ring& ring, std::string_view host, uint64_t hash, size_t count, std::vector<size_t>& chosen) const
{
    auto next = std::upper_bound(
        ring.begin(), ring.end(), hash, [](uint64_t value, const Point& point) { return value < point.hash; });
    for (size_t seen = 0; seen < ring.size() && count > 0; ++seen, ++next) {
        if (next == ring.end())
            next = ring.begin();
        const size_t index = next->index;
        const bool isHost = next->hash == hash && m_hosts[index].host == host;
        if (isHost || std::find(chosen.begin(), chosen.end(), index) != chosen.end())
            continue;
        chosen.push_back(index);
        --count;
    }
}

std::vector<size_t> ForwardPlan::choose(std::string_view host, std::string_view dataCentre) const
{
    const uint64_t hash = rendezvousHash(host, ringSeed);
    std::vector<size_t> chosen;
    chosen.reserve(m_options.targets);
    const auto near = m_rings.find(dataCentre);
    if (near != m_rings.end())
        append(near->second, host, hash, m_options.nearTargets, chosen);
    append(m_ring, host, hash, m_options.targets - chosen.size(), chosen);
    return chosen;
}

std::vector<ForwardTarget> ForwardPlan::targetsOf(std::string_view host, std::string_view dataCentre) const
{
    const auto chosen = choose(host, dataCentre);
    std::vector<ForwardTarget> targets;
    targets.reserve(chosen.size());
    for (const size_t index : chosen)
        targets.push_back(m_hosts[index]);
    return targets;
}

uint64_t ForwardPlan::checksumOf(std::string_view host, std::string_view dataCentre) const
{
    ListChecksum checksum;
    for (const size_t index : choose(host, dataCentre))
        checksum.add(m_checksums[index]);
    return checksum.value();
}

// --- On a host

void ForwardChoice::setTargets(std::vector<ForwardTarget> targets) { m_targets = std::move(targets); }

unsigned ForwardChoice::inFlight(const std::string& host) const
{
    const auto found = m_inFlight.find(host);
    return found == m_inFlight.end() ? 0 : found->second;
}

void ForwardChoice::ended(const std::string& host)
{
    const auto found = m_inFlight.find(host);
    if (--found->second == 0)
        m_inFlight.erase(found);
}

std::optional<ForwardTarget> ForwardChoice::choose(
    std::span<const std::string> excluded, Instant now, uint64_t random) const
{
    std::vector<const ForwardTarget*> usable;
    for (const auto& target : m_targets) {
        const auto avoided = m_avoidUntil.find(target.host);
        const bool avoid = avoided != m_avoidUntil.end() && now < avoided->second;
        if (!avoid && std::find(excluded.begin(), excluded.end(), target.host) == excluded.end())
            usable.push_back(&target);
    }
    if (usable.empty())
        return std::nullopt;
    const ForwardTarget* first = usable[random % usable.size()];
    // The second differs from the first wherever there are two.
    const size_t others = std::max<size_t>(1, usable.size() - 1);
    const ForwardTarget* second = usable[(random + 1 + random / usable.size() % others) % usable.size()];
    const unsigned firstLoad = inFlight(first->host);
    const unsigned secondLoad = inFlight(second->host);
    if (firstLoad != secondLoad)
        return firstLoad < secondLoad ? *first : *second;
    return first->dataCentre != m_dataCentre && second->dataCentre == m_dataCentre ? *second : *first;
}

}
