// Structured logs: one JSON object a line on standard output. A line for each decision that touches a request or
// changes what the process believes; what succeeds as usual is only counted, in Metrics.
//
// Writing never blocks: lines wait in a bounded queue for a thread of their own, and are dropped when it is full.
#pragma once

#include <boost/json/object.hpp>
#include <string_view>

namespace cumindale {

enum class LogLevel { Info, Warning, Error };

void startLog(std::string_view host, LogLevel least = LogLevel::Info); // once, before the first line
void stopLog(); // writes what waits; nothing is logged after it
void logChange(LogLevel, std::string_view event, boost::json::object fields = {}); // thread-safe

}
