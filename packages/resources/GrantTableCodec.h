// The form in which the store and the peers hold a GrantTable: JSON, a range as a short list.
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
std::optional<GrantTable> decodeGrantTable(std::string_view); // nothing: malformed, or ranges with gaps
std::string encodeGrantChange(const GrantTableChange&); // as a table, with "fromTerm" and "fromEdition"
std::optional<GrantTableChange> decodeGrantChange(std::string_view); // nothing: malformed
std::string grantTableKey(std::string_view service); // in the store
bool isGrantTableKey(std::string_view key);

// The hosts by which the coordinator's office is judged (decisions/LeadershipRules.h).
std::string listedHostsKey(); // in the store
std::string encodeListedHosts(const std::set<std::string, std::less<>>&);
std::set<std::string, std::less<>> decodeListedHosts(std::string_view); // empty: malformed

}
