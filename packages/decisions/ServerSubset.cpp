#include "decisions/ServerSubset.h"

#include "decisions/RendezvousHash.h"

#include <algorithm>

namespace cumindale {

ServerSubset::ServerSubset(std::string host, std::string dataCentre, SubsetOptions options)
    : m_host(std::move(host))
    , m_dataCentre(std::move(dataCentre))
    , m_options(options)
{
}

uint64_t ServerSubset::rankOf(std::string_view server) const { return rendezvousHash(m_host, server); }

void ServerSubset::add(std::string_view server, std::string_view dataCentre)
{
    serversIn(dataCentre).emplace(rankOf(server), server);
}

void ServerSubset::remove(std::string_view server, std::string_view dataCentre)
{
    serversIn(dataCentre).erase({ rankOf(server), std::string(server) });
}

std::vector<std::string> ServerSubset::preferred() const
{
    const size_t wanted = std::min(m_options.preferred, size());
    const size_t remoteWanted = std::min(m_remote.size(), m_options.inOtherDataCentres);
    const size_t local = std::min(m_local.size(), wanted - std::min(wanted, remoteWanted));
    std::vector<std::string> servers;
    servers.reserve(wanted);
    const auto take = [&](const Ranked& from, size_t count) {
        for (auto server = from.begin(); server != from.end() && count; ++server, --count)
            servers.push_back(server->second);
    };
    take(m_local, local);
    take(m_remote, wanted - local);
    return servers;
}

const std::string& ServerSubset::sample(uint64_t random) const
{
    const bool local = m_remote.empty() || (!m_local.empty() && random % size() < m_local.size());
    const Ranked& from = local ? m_local : m_remote;
    // Ranks are spread evenly, so the next one after a random rank belongs to a random server.
    auto found = from.lower_bound({ random, {} });
    if (found == from.end())
        found = from.begin();
    return found->second;
}

}
