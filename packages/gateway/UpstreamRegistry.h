// The registered servers as the routing thread of a host knows them, and the state of those that it uses.
//
// A host is told of every server but sends to few of them, so only these have an Upstream. It is made when the server
// is first needed and dropped when it has not been used for a while. A change costs as much as the servers that it
// names, not as much as there are.
#pragma once

#include "base/Time.h"
#include "decisions/ServerSubset.h"
#include "gateway/Messages.h"
#include "gateway/Upstream.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

class UpstreamRegistry {
public:
    using UpstreamPointer = std::shared_ptr<Upstream>;
    using RemovalHandler
        = std::function<void(const Upstream&)>; // called for a server in use that is registered no more

    UpstreamRegistry(boost::asio::any_io_executor, const Clock&, std::string host, std::string dataCentre,
        std::shared_ptr<ResponseMemory>, RemovalHandler);

    // --- Changes
    void setRules(std::shared_ptr<const RouteRules>);
    void setHosts(size_t hosts); // number of hosts that share the servers; 0: not known
    // `complete`: the changes name every registered server, and all others are gone.
    void apply(std::span<const ServerChange>, bool complete);
    void applyShares(const HostShares&, size_t sharers); // `sharers`: of rate limits; 0: not known
    void setCrowded(std::span<const std::string> servers);

    // --- Queries
    UpstreamPointer upstream(std::string_view server); // null: not registered
    bool isRegistered(std::string_view server) const { return m_servers.count(server) > 0; }
    size_t countOf(std::string_view service) const; // of registered servers
    const RegisteredServer* entryOf(std::string_view server) const; // null: not registered
    uint64_t membersEdition() const { return m_membersEdition; } // rises when a service gains or loses a server
    // Calls `visit` with the id of each registered server of the service.
    template <typename Visit> void forEachServer(std::string_view service, Visit&& visit) const
    {
        const auto subset = m_subsets.find(service);
        if (subset == m_subsets.end())
            return;
        subset->second.forEach([&](const std::string& server) {
            visit(server);
            return true;
        });
    }
    // Whether a server without keys should get requests, from its entry and from what this host has seen of it.
    bool takesNewWork(const RegisteredServer&, Instant now) const;
    // Servers among which a request to a service without keys chooses: the preferred ones, and a few others at random.
    std::vector<UpstreamPointer> candidates(const std::string& service, uint64_t random);
    // Whether a server of the service takes requests and is not warming up.
    bool anyWarm(const std::string& service, Instant now);
    const std::map<std::string, UpstreamPointer, std::less<>>& inUse() const { return m_upstreams; } // by id
    void dropUnused(Instant now); // those that have not been used for a while and whose state is worth nothing

private:
    void applyChange(const ServerChange&, Instant now);
    void remove(const std::string& server);
    void removeFromSubset(const RegisteredServer&);
    void update(Upstream&, const RegisteredServer&, Instant now);
    const RoutedService* rulesOf(const RegisteredServer&) const;

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    std::string m_host;
    std::string m_dataCentre;
    std::shared_ptr<ResponseMemory> m_responseMemory;
    RemovalHandler m_onRemoval;
    std::shared_ptr<const RouteRules> m_rules; // null until the first rules arrive
    size_t m_hosts = 0;
    std::shared_ptr<const RateLimits> m_limits; // as last sent by the coordinator; null: none
    size_t m_sharers = 0; // of m_limits
    std::map<std::string, std::shared_ptr<const RegisteredServer>, std::less<>> m_servers; // by id
    std::map<std::string, ServerSubset, std::less<>> m_subsets; // by service
    uint64_t m_membersEdition = 0;
    std::map<std::string, UpstreamPointer, std::less<>> m_upstreams; // by id; of servers in use
    std::vector<std::string> m_sharedServers; // ids of servers for which this host has a share
    std::map<std::string, Instant, std::less<>> m_crowded; // by id: when the coordinator last named the server crowded
};

}
