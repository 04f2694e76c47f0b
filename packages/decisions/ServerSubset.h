// Which servers of a service without keys a host prefers.
//
// Load pattern: thousands of servers, and hosts that get a few requests a second each. A host that chose among all
// servers would come back to one only after its connection has timed out, would know nothing of its load, and would
// look at thousands of servers for each request. Each host prefers a few servers instead, by rendezvous hashing, so
// that hosts agree on nothing, the preferences of all hosts together spread evenly, and a server that joins or leaves
// changes few of them. Most preferred servers are in the host's data centre, since traffic to others costs more.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cumindale {

struct SubsetOptions {
    // Enough that all of them are hardly ever busy at once. A service with no more servers than this is used whole.
    size_t preferred = 24;
    size_t inOtherDataCentres = 8; // part of `preferred`, unless the host's data centre has too few
};

class ServerSubset {
public:
    ServerSubset(std::string host, std::string dataCentre, SubsetOptions = {});

    void add(std::string_view server, std::string_view dataCentre);
    void remove(std::string_view server, std::string_view dataCentre); // as given to add()
    size_t size() const { return m_local.size() + m_remote.size(); } // of all servers
    std::vector<std::string> preferred() const;
    const std::string& sample(uint64_t random) const; // any of all servers, which must not be empty
    // Calls `visit` with each server until it returns false.
    template <typename Visit> void forEach(Visit&& visit) const
    {
        for (const auto* servers : { &m_local, &m_remote }) {
            for (const auto& [rank, server] : *servers) {
                if (!visit(server))
                    return;
            }
        }
    }

private:
    using Ranked = std::set<std::pair<uint64_t, std::string>>; // by rank for this host, best first

    Ranked& serversIn(std::string_view dataCentre) { return dataCentre == m_dataCentre ? m_local : m_remote; }
    uint64_t rankOf(std::string_view server) const;

    std::string m_host;
    std::string m_dataCentre;
    SubsetOptions m_options;
    Ranked m_local; // in the host's data centre
    Ranked m_remote;
};

}
