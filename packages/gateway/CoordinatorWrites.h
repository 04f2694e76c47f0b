// What the coordinator writes to the store in one transaction, and under which conditions.
#pragma once

#include "decisions/GrantTable.h"
#include "gateway/PlatformView.h"
#include "store/Store.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cumindale {

struct PendingWrite {
    std::vector<GrantTable> tables;
    std::set<std::string, std::less<>> hosts; // empty: the list is not written
    std::optional<FleetSize> fleetSize; // no value: not written
    std::optional<std::string> quarantine; // encoded; no value: not written
    uint64_t quarantineEdition = 0;
};

// `leadership`: holds while the host is the coordinator.
std::vector<Compare> conditionsOf(const PendingWrite&, const Compare& leadership, const PlatformView&);
std::vector<WriteOperation> operationsOf(const PendingWrite&);

}
