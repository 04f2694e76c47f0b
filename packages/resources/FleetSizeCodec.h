// The size of the fleet as the coordinator leaves it in the store, from which hosts that start know whether the store
// carries the reads of all of them. JSON: {"hosts": 984, "servers": 10000}.
#pragma once

#include "decisions/EntryReads.h"

#include <optional>
#include <string>
#include <string_view>

namespace cumindale {

std::string fleetSizeKey(); // in the store
std::string encodeFleetSize(const FleetSize&);
std::optional<FleetSize> decodeFleetSize(std::string_view); // nullopt if malformed

}
