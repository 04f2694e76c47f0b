// State of one request in the gateway, from its arrival to its response.
#pragma once

#include "base/ErrorKind.h"
#include "base/Time.h"
#include "callers/CallerServer.h"
#include "decisions/Resources.h"
#include "decisions/RouteRules.h"
#include "gateway/RequestCrashes.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cumindale {

struct GatewayJob {
    CallerRequest& request;
    CallerConnection& presence;
    RequestFingerprints fingerprints;
    std::shared_ptr<const RouteRules> rules; // keeps `route` alive
    const HostRoute* route = nullptr;
    std::string service;
    bool keyed = false;
    uint32_t key = 0;
    PriorityClass priority = PriorityClass::Background;
    std::string id; // from the caller
    std::string callerAddress; // IP address
    std::string forwardedBy; // host from which the request came; empty: from its caller
    std::string forwardedService; // that this host has chosen
    int64_t forwardedRules = 0; // revision of this host's document; 0: it doesn't say
    std::string forwardedTo; // host that the request was last forwarded to; empty: none
    uint64_t identity = 0; // see SlotRequest
    Instant arrived {};
    Instant target {}; // target latency, counted from the caller's first attempt
    Instant callerDeadline {};
    Instant deadline {}; // the earlier of the caller's and the route's
    bool waited = false; // has waited for the key's owner, or waiting is not worthwhile
    Instant readyAt = Instant::max(); // when the server that is the reason for a refusal accepts requests again
    int64_t arrivedMicros = 0;
    int64_t serverMicros = 0; // time spent in exchanges
    unsigned sends = 0;
    uint16_t connection = 0; // local port of the connection that carried the last send
    unsigned connectionUse = 0; // 1: the last send was the first request on that connection
    unsigned share = 0; // this host's limit for the last server
    bool crowded = false; // the last server needed permits
    bool maybeRan = false; // an earlier attempt may have run
    ErrorKind uncertainError = ErrorKind::None; // of the last attempt that may have run
    std::vector<std::string> tried; // server ids
    std::vector<std::string> unusable; // ids of servers that a broker named and this host couldn't use
    std::string refusedBy; // id of the server that refused the request's key although it had a free slot
    TicketId slot = 0; // granted by a broker; 0: none
    bool slotGranted = false; // by a broker, for the last send: the server was not full.
    std::optional<Millis> slotWait; // until a broker expects a slot, of a request that it refused
    ErrorKind refused = ErrorKind::None; // what the caller was told, of a response that this host made
    std::optional<CallerResponse> forwardedRefusal; // another host's own response to the forwarded request
    std::optional<CallerResponse> failure; // a server's 5xx response, returned if no other attempt succeeds
};

}
