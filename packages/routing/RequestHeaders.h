// The headers by which hosts, callers and backend servers speak of a request, and where its key is.
// docs/OPERATIONS.md describes them for users.
#pragma once

#include "callers/CallerServer.h"
#include "decisions/Resources.h"

#include <string_view>

namespace cumindale {

constexpr std::string_view ranHeader = "Cumindale-Ran"; // yes, no, unknown
constexpr std::string_view errorHeader = "Cumindale-Error"; // kind, on answers that the system makes itself
constexpr std::string_view requestIdHeader = "Cumindale-Request-Id"; // of one dispatch; servers may echo it
constexpr std::string_view fenceHeader = "Cumindale-Fence";
constexpr std::string_view rangeHeader = "Cumindale-Range"; // first and last point of the slice
constexpr std::string_view deadlineHeader = "Cumindale-Deadline"; // absolute, Unix ms
constexpr std::string_view timeoutHeader = "Cumindale-Timeout-Ms"; // time left; a caller may give less than the rule
constexpr std::string_view traceHeader = "traceparent";
constexpr std::string_view hostHeader = "Cumindale-Host"; // who dispatched it
constexpr std::string_view relayedHeader = "Cumindale-Relayed"; // by a host that can't reach the owner

std::string_view pathOf(std::string_view target); // without the query
std::string_view keyOf(const ServiceResource&, const CallerRequest&); // empty if missing
void stripForServer(CallerRequest&); // removes what is ours, or of the caller's connection only
void stripForCaller(CallerResponse&); // removes what is of the server's connection only

}
