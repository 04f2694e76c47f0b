// Headers that hosts, callers and backend servers add to requests and responses, and extraction of a request's key.
// docs/OPERATIONS.md describes the headers for users.
#pragma once

#include "callers/CallerServer.h"
#include "decisions/Resources.h"

#include <string_view>

namespace cumindale {

constexpr std::string_view ranHeader = "Cumindale-Ran"; // yes, no, unknown
constexpr std::string_view errorHeader = "Cumindale-Error"; // error kind, on responses made by a host itself
constexpr std::string_view requestIdHeader = "Cumindale-Request-Id"; // differs for each dispatch; servers may echo it
constexpr std::string_view fenceHeader = "Cumindale-Fence"; // fencing token of the slice
constexpr std::string_view rangeHeader = "Cumindale-Range"; // first and last point of the slice, both inclusive
constexpr std::string_view deadlineHeader = "Cumindale-Deadline"; // absolute, in Unix milliseconds
constexpr std::string_view timeoutHeader = "Cumindale-Timeout-Ms"; // time left; callers may set less than the rule
constexpr std::string_view traceHeader = "traceparent"; // W3C Trace Context
constexpr std::string_view hostHeader = "Cumindale-Host"; // host that dispatched the request
constexpr std::string_view forwardedByHeader = "Cumindale-Forwarded-By"; // host that forwards the request to another
constexpr std::string_view forwardedCallerHeader = "Cumindale-Forwarded-Caller"; // the caller's IP address
constexpr std::string_view forwardedServiceHeader = "Cumindale-Forwarded-Service"; // that the first host has chosen
constexpr std::string_view forwardedRulesHeader = "Cumindale-Forwarded-Rules"; // revision of the first host's document
constexpr std::string_view forwardedSendsHeader = "Cumindale-Forwarded-Sends"; // attempts so far
constexpr std::string_view forwardResultHeader = "Cumindale-Forward-Result"; // on responses; see ForwardHeaders.h
constexpr std::string_view reachQueryHeader = "Cumindale-Reaches"; // between hosts; see ReachQueries.h
constexpr std::string_view relayedHeader = "Cumindale-Relayed"; // relaying host, which can't reach the owner

std::string_view pathOf(std::string_view target); // target without its query string
std::string_view hostOf(std::string_view header); // the value of Host without the port
std::string_view keyOf(const ServiceResource&, const CallerRequest&); // empty if the key is missing
void stripForServer(CallerRequest&); // removes internal and hop-by-hop headers
void stripForCaller(CallerResponse&); // removes hop-by-hop headers

}
