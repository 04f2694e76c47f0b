#include "decisions/ForwardTargets.h"

#include "decisions/RendezvousHash.h"

#include <algorithm>

namespace cumindale {

namespace {

    constexpr std::string_view ringSeed = "forward";

}

// --- At the coordinator

void ForwardPlan::setHosts(std::vector<ForwardTarget> hosts)
{
    m_hosts = std::move(hosts);
    m_ring.clear();
    m_rings.clear();
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        const uint64_t point = rendezvousHash(m_hosts[i].host, ringSeed);
        m_ring.emplace(point, i);
        m_rings[m_hosts[i].dataCentre].emplace(point, i);
    }
}

// Appends the `count` hosts that follow on the ring and aren't chosen yet.
void ForwardPlan::append(const Ring& ring, std::string_view host, size_t count, std::vector<size_t>& chosen) const
{
    auto next = ring.upper_bound(rendezvousHash(host, ringSeed));
    for (size_t seen = 0; seen < ring.size() && count > 0; ++seen, ++next) {
        if (next == ring.end())
            next = ring.begin();
        const size_t index = next->second;
        if (m_hosts[index].host == host || std::find(chosen.begin(), chosen.end(), index) != chosen.end())
            continue;
        chosen.push_back(index);
        --count;
    }
}

std::vector<ForwardTarget> ForwardPlan::targetsOf(std::string_view host, std::string_view dataCentre) const
{
    std::vector<size_t> chosen;
    const auto near = m_rings.find(dataCentre);
    if (near != m_rings.end())
        append(near->second, host, m_options.nearTargets, chosen);
    append(m_ring, host, m_options.targets - chosen.size(), chosen);
    std::vector<ForwardTarget> targets;
    targets.reserve(chosen.size());
    for (const size_t index : chosen)
        targets.push_back(m_hosts[index]);
    return targets;
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
