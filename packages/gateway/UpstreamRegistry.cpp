#include "gateway/UpstreamRegistry.h"

#include "base/Random.h"
#include "decisions/ServerLimit.h"

#include <algorithm>
#include <set>

namespace cumindale {

namespace {

    // What an Upstream has measured is out of date by then, and its connections are closed.
    constexpr Millis unusedLifetime { 60'000 };
    constexpr size_t sampledCandidates = 2; // of the servers that aren't preferred, for when all preferred are busy

}

UpstreamRegistry::UpstreamRegistry(boost::asio::any_io_executor executor, const Clock& clock, std::string host,
    std::string dataCentre, std::shared_ptr<ResponseMemory> responseMemory, RemovalHandler onRemoval)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_host(std::move(host))
    , m_dataCentre(std::move(dataCentre))
    , m_responseMemory(std::move(responseMemory))
    , m_onRemoval(std::move(onRemoval))
{
}

// --- Changes

const RoutedService* UpstreamRegistry::rulesOf(const RegisteredServer& server) const
{
    return m_rules ? m_rules->service(server.service) : nullptr;
}

void UpstreamRegistry::update(Upstream& upstream, const RegisteredServer& entry, Instant now)
{
    upstream.update(entry, rulesOf(entry), m_hosts, now);
}

void UpstreamRegistry::setRules(std::shared_ptr<const RouteRules> rules)
{
    m_rules = std::move(rules);
    const Instant now = m_clock.now();
    for (const auto& [id, upstream] : m_upstreams)
        update(*upstream, *m_servers.find(id)->second, now);
}

void UpstreamRegistry::setHosts(size_t hosts)
{
    m_hosts = hosts;
    const Instant now = m_clock.now();
    for (const auto& [id, upstream] : m_upstreams)
        update(*upstream, *m_servers.find(id)->second, now);
}

void UpstreamRegistry::apply(std::span<const ServerChange> changes, bool complete)
{
    const Instant now = m_clock.now();
    if (complete) {
        std::set<std::string_view> named;
        for (const auto& change : changes)
            named.insert(change.id);
        std::vector<std::string> gone;
        for (const auto& [id, server] : m_servers) {
            if (!named.count(id))
                gone.push_back(id);
        }
        for (const auto& id : gone)
            remove(id);
    }
    for (const auto& change : changes)
        applyChange(change, now);
}

void UpstreamRegistry::applyChange(const ServerChange& change, Instant now)
{
    if (!change.entry) {
        remove(change.id);
        return;
    }
    std::shared_ptr<const RegisteredServer>& held = m_servers[change.id];
    const RegisteredServer& entry = *change.entry;
    const bool moved = held && (held->service != entry.service || held->dataCentre != entry.dataCentre);
    if (moved)
        removeFromSubset(*held);
    if (!held || moved) {
        ++m_membersEdition;
        m_subsets.try_emplace(entry.service, m_host, m_dataCentre).first->second.add(entry.id, entry.dataCentre);
    }
    held = change.entry;
    const auto upstream = m_upstreams.find(change.id);
    if (upstream != m_upstreams.end())
        update(*upstream->second, entry, now);
}

void UpstreamRegistry::removeFromSubset(const RegisteredServer& entry)
{
    const auto subset = m_subsets.find(entry.service);
    if (subset != m_subsets.end())
        subset->second.remove(entry.id, entry.dataCentre);
}

void UpstreamRegistry::remove(const std::string& id)
{
    const auto server = m_servers.find(id);
    if (server == m_servers.end())
        return;
    removeFromSubset(*server->second);
    ++m_membersEdition;
    m_servers.erase(server);
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    const UpstreamPointer upstream = found->second;
    m_upstreams.erase(found);
    upstream->pool.evictQueue();
    m_onRemoval(*upstream);
}

void UpstreamRegistry::applyShares(const HostShares& shares, size_t sharers)
{
    const Instant now = m_clock.now();
    m_limits = shares.limits;
    m_sharers = sharers;
    for (const auto& [id, upstream] : m_upstreams) {
        const auto limit = m_limits ? m_limits->find(id) : RateLimits::const_iterator {};
        const bool limited = m_limits && limit != m_limits->end();
        upstream->setLimitFromCoordinator(limited ? std::optional(limit->second) : std::nullopt, sharers, now);
    }
    for (const auto& id : std::exchange(m_sharedServers, {})) {
        const auto found = m_upstreams.find(id);
        if (found != m_upstreams.end() && !shares.servers.count(id))
            found->second->clearShare(now);
    }
    for (const auto& [id, advice] : shares.servers) {
        const UpstreamPointer server = upstream(id);
        if (!server)
            continue;
        server->applyAdvice(advice, now);
        if (advice.kind == ServerAdvice::Kind::Share)
            m_sharedServers.push_back(id);
    }
}

void UpstreamRegistry::setCrowded(std::span<const std::string> servers)
{
    const Instant now = m_clock.now();
    for (const auto& id : servers) {
        m_crowded[id] = now;
        const auto found = m_upstreams.find(id);
        if (found != m_upstreams.end())
            found->second->setCrowded(now);
    }
    std::erase_if(
        m_crowded, [&](const auto& entry) { return now - entry.second > ServerLimitOptions {}.crowdedTimeout; });
}

// --- Queries

UpstreamRegistry::UpstreamPointer UpstreamRegistry::upstream(std::string_view id)
{
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end())
        return found->second;
    const auto server = m_servers.find(id);
    if (server == m_servers.end())
        return nullptr;
    const Instant now = m_clock.now();
    const RegisteredServer& entry = *server->second;
    auto made = std::make_shared<Upstream>(m_executor, m_clock, entry, rulesOf(entry), m_responseMemory);
    update(*made, entry, now);
    made->lastUsed = now;
    if (m_limits) {
        const auto limit = m_limits->find(id);
        if (limit != m_limits->end())
            made->setLimitFromCoordinator(limit->second, m_sharers, now);
    }
    const auto crowded = m_crowded.find(id);
    if (crowded != m_crowded.end() && now - crowded->second <= ServerLimitOptions {}.crowdedTimeout)
        made->setCrowded(now);
    m_upstreams.emplace(id, made);
    return made;
}

size_t UpstreamRegistry::countOf(std::string_view service) const
{
    const auto found = m_subsets.find(service);
    return found == m_subsets.end() ? 0 : found->second.size();
}

const RegisteredServer* UpstreamRegistry::entryOf(std::string_view server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : found->second.get();
}

bool UpstreamRegistry::takesNewWork(const RegisteredServer& entry, Instant now) const
{
    const RoutedService* rules = rulesOf(entry);
    const bool warmingUp = rules && rules->warmUp.isSet() && entry.warmingUp(now);
    if (entry.draining() || entry.unconfirmed || warmingUp)
        return false;
    const auto used = m_upstreams.find(entry.id);
    return used == m_upstreams.end() || !(used->second->isUnready(now) || used->second->failing(now));
}

std::vector<UpstreamRegistry::UpstreamPointer> UpstreamRegistry::candidates(const std::string& service, uint64_t random)
{
    std::vector<UpstreamPointer> servers;
    const auto found = m_subsets.find(service);
    if (found == m_subsets.end() || !found->second.size())
        return servers;
    for (const auto& id : found->second.preferred())
        servers.push_back(upstream(id));
    if (servers.size() == found->second.size())
        return servers;
    for (size_t i = 0; i < sampledCandidates; ++i) {
        UpstreamPointer sampled = upstream(found->second.sample(i ? randomNumber() : random));
        if (std::find(servers.begin(), servers.end(), sampled) == servers.end())
            servers.push_back(std::move(sampled));
    }
    return servers;
}

bool UpstreamRegistry::anyWarm(const std::string& service, Instant now)
{
    const auto found = m_subsets.find(service);
    if (found == m_subsets.end())
        return false;
    bool warm = false;
    found->second.forEach([&](const std::string& id) {
        const auto upstream = m_upstreams.find(id);
        if (upstream != m_upstreams.end()) {
            warm = !upstream->second->outOfUse() && !upstream->second->warmingUp(now);
        } else {
            const RegisteredServer& entry = *m_servers.find(id)->second;
            const RoutedService* rules = rulesOf(entry);
            warm = !entry.draining() && !(rules && rules->warmUp.isSet() && entry.warmingUp(now));
        }
        return !warm;
    });
    return warm;
}

void UpstreamRegistry::dropUnused(Instant now)
{
    std::erase_if(m_upstreams, [&](const auto& entry) {
        const Upstream& upstream = *entry.second;
        const auto& admission = upstream.pool.admission();
        const bool busy = admission.inFlight() || admission.queued() || !upstream.overdueTimes.empty();
        // Only this host may know that the server is leaving, wants no requests, or has another one at its address.
        const bool knowsMore = upstream.announcedLeaving() || upstream.backingOff(now) || upstream.replaced
            || upstream.rateLimit() || upstream.failing(now);
        return !busy && !knowsMore && now - upstream.lastUsed > unusedLifetime;
    });
}

}
