// Settings of one cumindaled process: a JSON file with comments. Every field is checked before anything starts;
// a bad one is answered with the file, the field and what is allowed. examples/cumindaled.json shows them all.
#pragma once

#include "base/Time.h"
#include "resources/FieldReader.h"

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cumindale {

struct Endpoint {
    std::string address; // IP number
    uint16_t port = 0;
};

constexpr std::string_view metadataStorePlatform = "metadata-store"; // the one platform that is known

struct HostSettings {
    std::string name; // unique among the entry hosts
    std::string dataCentre;
    Endpoint callers; // HTTP from callers
    Endpoint peers; // Thrift between the system's processes
    Endpoint operators; // administration API and /metrics
    std::string operatorToken; // bearer token for writes
    Endpoint store; // the platform's key-value store
    Endpoint hostList; // the platform's list of hosts
};

// Routes by host name and path, on a platform that declares services in a document of its own and whose servers
// enforce what they were granted. Without it a host serves the resources that operators apply.
struct GatewaySettings {
    std::string platform; // which platform's words: metadataStorePlatform
    Endpoint readiness; // the balancer asks here whether new callers should come
    double strength = 0.2; // cores that this host may use; the stronger ones coordinate where they can
    Millis maxGrantHold { 10'000 }; // of one grant, as servers allow it
    Millis leaderLease { 1'500 }; // of the coordinator's election; a lost one is replaced within about this time
    Millis minStoreLease { 1'000 }; // that the store allows
    Millis leaveTimeout { 2'000 }; // after a server has announced that it leaves, nothing new may reach it
    Millis evacuationTimeout { 5'000 }; // after operators have asked for it, nothing new may reach a data centre
    Millis shutdownGrace { 6'000 }; // between the request to stop and the end
    std::string fingerprintKey; // of requests that crash servers, in logs and in the store; the same on all hosts
    double retryRatio = 0.2; // sends beyond the first, over all hosts: so many for each request ...
    double retrySlack = 60; // ... and so many more in a window
};

struct TimingSettings {
    Millis heartbeatInterval { 250 }; // between two beats to a peer
    Millis lease { 600 }; // routing lease
    Millis driftMargin { 100 };
    Millis leaderLease { 2000 }; // of the assigner's election in the store
    Millis rereadInterval { 5000 }; // slow re-read of the store, against watches that went silent
    Millis probeInterval { 200 }; // of each backend server
    Millis probeTimeout { 300 };
    Millis hostListLag { 5000 }; // the list's stated lag: hosts that it no longer shows count until then
};

struct LimitSettings {
    size_t callerConnections = 20'000;
    size_t bodyMemory = 64'000'000; // bytes of request bodies being received, over all connections
    size_t headerBytes = 16'384;
    size_t keyBytes = 1'024;
    Millis headerTimeout { 10'000 }; // for a request's headers, from its first byte
    Millis bodyIdleTimeout { 30'000 }; // without a byte of the body
    Millis idleTimeout { 60'000 }; // between two requests on one connection
};

struct Settings {
    HostSettings host;
    TimingSettings timing;
    LimitSettings limits;
    std::optional<GatewaySettings> gateway;
};

boost::leaf::result<Settings> parseSettings(std::string_view text); // fails with a FieldError

}
