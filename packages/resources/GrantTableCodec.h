// JSON encoding of a GrantTable in the store and between peers. A range is an array: first key, last key, holder
// and fencing token; while the range moves, also the next holder, its fencing token and the HolderState as a number.
//
//     {"service": "tracing", "term": 412, "edition": 7, "highestFence": 90,
//      "ranges": [[0, 4095, "server-1", 88], [4096, 65535, "server-2", 89, "server-3", 90, 1]]}
#pragma once

#include "decisions/GrantTable.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cumindale {

std::string encodeGrantTable(const GrantTable&);
std::optional<GrantTable> decodeGrantTable(std::string_view); // nullopt if malformed or if the ranges leave gaps
std::string encodeGrantChange(const GrantTableChange&); // as a table, plus "fromTerm" and "fromEdition"
std::optional<GrantTableChange> decodeGrantChange(std::string_view); // nullopt if malformed
std::string grantTableKey(std::string_view service); // in the store
bool isGrantTableKey(std::string_view key);

// The set of hosts that the coordinator's leadership rules count (decisions/LeadershipRules.h).
std::string listedHostsKey(); // in the store
std::string encodeListedHosts(const std::set<std::string, std::less<>>&);
std::set<std::string, std::less<>> decodeListedHosts(std::string_view); // empty if malformed

}
