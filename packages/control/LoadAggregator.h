// Load of each service's slices and hot keys, summed over the hosts' reports, as a moving average.
#pragma once

#include "decisions/Placement.h"
#include "decisions/SliceTable.h"

#include <map>
#include <string>
#include <vector>

namespace cumindale {

// One host's load report for one service. Loads are in milliseconds of work per second.
struct HostLoad {
    uint64_t tableVersion = 0;
    std::map<size_t, double> slices; // by slice index in that table version
    std::map<uint64_t, double> keys; // by the key's point in the hash space
};

class LoadAggregator {
public:
    void report(const std::string& host, const std::string& service, HostLoad, Instant now);

    // The average load of each slice of the table, by slice index; empty if there is no load. After slices were split
    // or merged, the load known so far goes to the slices that now contain the begin points of the previous ones.
    std::vector<double> sliceLoad(const SliceTable&, Instant now);
    std::vector<HotKey> hotKeys(const SliceTable&) const; // keys with load enough for their own slice, hottest first

private:
    struct ServiceLoads {
        std::map<std::string, std::pair<HostLoad, Instant>> hosts;
        std::map<uint64_t, double> average; // by slice begin
        uint64_t samples = 0; // number of updates of the average so far
        Instant averagedAt {};
    };

    std::map<std::string, ServiceLoads> m_services;
};

}
