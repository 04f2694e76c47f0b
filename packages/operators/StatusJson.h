// Formats the system's state as JSON for the commands `status`, `explain` and `get`.
#pragma once

#include "control/StatusBoard.h"

#include <boost/json/object.hpp>
#include <string_view>

namespace cumindale {

boost::json::object statusJson(const StatusSnapshot&);
boost::json::object explainJson(const StatusSnapshot&, std::string_view service, std::string_view key);
boost::json::object inForceJson(const StatusSnapshot&, int64_t revision); // hosts on which the revision is in force
bool inForceEverywhere(const StatusSnapshot&, int64_t revision);

}
