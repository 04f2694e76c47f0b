// At the coordinator: the hosts that report to it in this term.
#pragma once

#include "base/Time.h"
#include "peers/Coordination.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

struct ReportingHost {
    Instant lastReport {};
    double strength = 0; // cores
    std::string dataCentre;
    std::string address; // "IP:port" of its peer port
    bool brokersSlots = false; // it may become a broker
    bool cutOff = false; // it reaches no server
    int forwardPort = 0; // 0: it takes no forwarded requests
    bool answersAwaiting = false; // it answers hosts that await a coordinator
};

class ReportingHosts {
public:
    using Map = std::map<std::string, ReportingHost, std::less<>>; // by name

    void onReport(const wire::HostReport&, Instant now);
    std::vector<std::string> removeSilent(Millis timeout, Instant now); // returns their names
    void clear();

    const Map& all() const { return m_hosts; }
    size_t size() const { return m_hosts.size(); }
    std::set<std::string, std::less<>> names() const;
    uint64_t edition() const { return m_edition; } // rises when a host joins, leaves or changes
    bool anyOtherReachesServers(std::string_view host) const;
    // Whether the host is one of the `standbys` strongest hosts beside the coordinator.
    bool isStandby(std::string_view host, std::string_view coordinator, size_t standbys) const;
    // Of those standbys, the ones that answer hosts that await a coordinator: addresses by name.
    std::map<std::string, std::string> answeringStandbys(std::string_view coordinator, size_t standbys) const;
    // `count` others that answer such hosts, of as many data centres as possible: addresses by name. The choice changes
    // little with the hosts that report.
    std::map<std::string, std::string> otherAnswering(
        std::string_view coordinator, size_t standbys, size_t count) const;

private:
    std::vector<const Map::value_type*> strongest(std::string_view coordinator, size_t standbys) const;

    Map m_hosts;
    uint64_t m_edition = 0;
};

}
