// Structured logs: one JSON object per line on standard output. Each decision that affects a request or changes the
// state of the process is logged; routine successes are only counted, in Metrics.
//
// Logging never blocks: lines are queued for a writer thread, and dropped when the bounded queue is full.
#pragma once

#include <boost/json/object.hpp>
#include <string_view>

namespace cumindale {

enum class LogLevel { Info, Warning, Error };

void startLog(std::string_view host, LogLevel minLevel = LogLevel::Info); // call once, before the first line is logged
void stopLog(); // writes the queued lines; later lines are not logged
void logChange(LogLevel, std::string_view event, boost::json::object fields = {}); // thread-safe

}
