// Which hosts serve the requests of a host that has lost its network path to the backend servers.
//
// Load pattern: up to most hosts of a deployment, or all of a data centre, are cut off from all servers for seconds and
// go on receiving the requests of their callers. The remaining hosts share this load as evenly as they can: each has
// little processor time to spare.
//
// - ForwardPlan, at the coordinator: gives each host a short list of hosts that reach the servers, some of its own data
//   centre and some of others, so that a list survives the loss of a data centre. Hosts are ordered on a ring by hash,
//   and a list is what follows its host there. A host that is cut off or comes back changes only the lists of its
//   neighbours, and a host's list costs the same with thousands of hosts.
// - ForwardChoice, on each host: picks the target of one request, by power of two choices.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

struct ForwardTarget {
    std::string host; // name
    std::string dataCentre;
    std::string address; // "IP:port" where it takes forwarded requests
    bool operator==(const ForwardTarget&) const = default;
};

struct ForwardPlanOptions {
    size_t nearTargets = 3; // in the host's own data centre
    size_t targets = 6; // in all. With six the load of a lost host spreads widely enough not to overload one of them.
};

class ForwardPlan {
public:
    explicit ForwardPlan(ForwardPlanOptions options = {})
        : m_options(options)
    {
    }

    void setHosts(std::vector<ForwardTarget>); // those that reach the servers and take forwarded requests
    size_t size() const { return m_hosts.size(); }
    // For this host, which may be one of those given.
    std::vector<ForwardTarget> targetsOf(std::string_view host, std::string_view dataCentre) const;
    // Of the host's list, the same at every coordinator; costs much less than the list itself. Never 0.
    uint64_t checksumOf(std::string_view host, std::string_view dataCentre) const;

private:
    struct Point {
        uint64_t hash = 0; // of the name
        size_t index = 0; // in m_hosts
    };
    using Ring = std::vector<Point>; // by hash

    std::vector<size_t> choose(std::string_view host, std::string_view dataCentre) const;
    void append(const Ring&, std::string_view host, uint64_t hash, size_t count, std::vector<size_t>& chosen) const;

    ForwardPlanOptions m_options;
    std::vector<ForwardTarget> m_hosts;
    std::vector<uint64_t> m_checksums; // of each of m_hosts
    Ring m_ring;
    std::map<std::string, Ring, std::less<>> m_rings; // by data centre
};

class ForwardChoice {
public:
    explicit ForwardChoice(std::string dataCentre)
        : m_dataCentre(std::move(dataCentre))
    {
    }

    void setTargets(std::vector<ForwardTarget>);
    const std::vector<ForwardTarget>& targets() const { return m_targets; }
    // Of two random targets the one with fewer requests of this host; if equal, one in the same data centre. Without
    // the hosts in `excluded` and those to be avoided. No value: none is left.
    std::optional<ForwardTarget> choose(std::span<const std::string> excluded, Instant now, uint64_t random) const;

    void started(const std::string& host) { ++m_inFlight[host]; }
    void ended(const std::string& host);
    void avoid(const std::string& host, Instant until) { m_avoidUntil[host] = until; }

private:
    unsigned inFlight(const std::string& host) const;

    std::string m_dataCentre;
    std::vector<ForwardTarget> m_targets;
    std::map<std::string, unsigned, std::less<>> m_inFlight; // by host; no entry: none
    std::map<std::string, Instant, std::less<>> m_avoidUntil; // by host
};

}
