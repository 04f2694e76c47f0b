// Headers that hosts add to a request that one of them forwards to another, and to its response.
//
// The host that forwards a request has no path to the servers. The other one serves it like a request of its own
// callers, but never forwards it again.
#pragma once

#include "base/ErrorKind.h"
#include "callers/CallerServer.h"

#include <optional>
#include <string>

namespace cumindale {

// What the receiving host needs to know beside the request itself.
struct ForwardedRequest {
    std::string host; // that forwards the request
    std::string caller; // IP address of the caller
    std::string service; // that the first host has chosen
    int64_t rulesRevision = 0; // of the document by which it has; 0: of a version that doesn't say
    unsigned sends = 0; // to servers before, which count against the route's maximum
};

// How the receiving host has served the request. Stated in addition to the response, which is the caller's.
struct ForwardResult {
    ErrorKind error = ErrorKind::None; // of a response that the receiving host made itself
    unsigned sends = 0; // to servers, earlier ones included
    std::string server; // that it was last sent to, or could not be reached; empty: the host has tried none
};

CallerLimits forwardLimits(const CallerLimits& callers); // for requests that other hosts forward
void setForwardHeaders(CallerRequest&, const ForwardedRequest&);
ForwardedRequest takeForwardHeaders(CallerRequest&); // and removes them
void setForwardResult(CallerResponse&, const ForwardResult&);
std::optional<ForwardResult> takeForwardResult(CallerResponse&); // and removes it; no value: missing or malformed

}
