// Structured logs: one JSON object a line on standard error, for changes of state only. Counters come first:
// what happens per request belongs in Metrics.
#pragma once

#include <boost/json/object.hpp>
#include <string_view>

namespace cumindale {

enum class LogLevel { Info, Warning, Error };

void startLog(std::string_view host, LogLevel least = LogLevel::Info); // once, before the first line
void logChange(LogLevel, std::string_view event, boost::json::object fields = {}); // thread-safe

}
