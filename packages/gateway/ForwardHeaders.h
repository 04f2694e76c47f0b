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
    unsigned sends = 0; // to servers before, which count against the route's maximum
};

// How the receiving host has served the request. Stated in addition to the response, which is the caller's.
struct ForwardResult {
    ErrorKind error = ErrorKind::None; // of a response that the receiving host made itself
    unsigned sends = 0; // to servers, earlier ones included
};

void setForwardHeaders(CallerRequest&, const ForwardedRequest&);
ForwardedRequest takeForwardHeaders(CallerRequest&); // and removes them
void setForwardResult(CallerResponse&, const ForwardResult&);
std::optional<ForwardResult> takeForwardResult(CallerResponse&); // and removes it; no value: missing or malformed

}
