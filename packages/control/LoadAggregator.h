// Load of each service's slices and hot keys, summed over the hosts' reports, as a moving average.
#pragma once

#include "decisions/Placement.h"
#include "decisions/SliceTable.h"

#include <map>
#include <string>
#include <vector>

namespace cumindale {

// One host's report of one service; milliseconds of work a second.
struct HostLoad {
    uint64_t tableVersion = 0;
    std::map<size_t, double> slices; // by slice index of that version
    std::map<uint64_t, double> keys; // by point
};

class LoadAggregator {
public:
    void report(const std::string& host, const std::string& service, HostLoad, Instant now);

    // Beside the table's slices; empty if nothing was reported yet. Slices cut or joined since a report share
    // the load of the points that they had.
    std::vector<double> sliceLoad(const SliceTable&, Instant now);
    std::vector<HotKey> hotKeys(const SliceTable&) const; // keys heavy enough for a slice of their own, hottest first

private:
    struct ServiceLoads {
        std::map<std::string, std::pair<HostLoad, Instant>> hosts;
        std::map<uint64_t, double> average; // by slice begin
        uint64_t samples = 0; // how many reports the average holds
        Instant averagedAt {};
    };

    std::map<std::string, ServiceLoads> m_services;
};

}
