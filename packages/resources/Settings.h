// Settings of one cumindaled process, read from a JSON file in which comments are allowed. All fields are validated
// before anything starts; an error names the file, the field and the allowed values. examples/cumindaled.json lists all
// fields.
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
    std::string address; // IP address
    uint16_t port = 0;
};

constexpr std::string_view metadataStorePlatform = "metadata-store"; // the only supported platform

struct HostSettings {
    std::string name; // unique among the entry hosts
    std::string dataCentre;
    Endpoint callers; // HTTP from callers
    Endpoint peers; // Thrift between cumindaled processes
    Endpoint operators; // administration API and /metrics
    std::string operatorToken; // bearer token for writes
    Endpoint store; // the platform's key-value store
    Endpoint hostList; // the platform's host list service
    std::string healthPath; // of the load balancer's checks on the callers' port; empty with a gateway: `readiness`
};

// Whether the slots of backend servers are granted by the hosts that the coordinator picks as brokers.
enum class SlotBrokerMode : uint8_t {
    Auto, // for services whose servers take fewer requests than there are hosts
    On,
    Off,
};

// Settings for routing by host name and path on a platform that declares its services in a document of its own and
// whose servers enforce their grants. Without these settings a host serves the resources that operators apply.
struct GatewaySettings {
    std::string platform; // selects the platform adapter: metadataStorePlatform
    Endpoint readiness; // the load balancer checks here whether to send new callers
    double strength = 0.2; // CPU cores that this host may use; hosts with more are preferred as coordinator
    size_t memoryMegabytes
        = 0; // memory that this host may use; 0: not limited. Lowers the memory limits of LimitSettings
    size_t descriptors = 0; // that this host may have open; 0: as the process's own limit says
    Millis maxGrantHold { 10'000 }; // longest duration of one grant that servers accept
    Millis leaderLease { 1'500 }; // of the coordinator; a failed coordinator is replaced after about this time
    Millis minStoreLease { 1'000 }; // shortest lease that the store accepts
    Millis leaveTimeout { 2'000 }; // from a server's leave notice until no new request may reach it
    Millis evacuationTimeout { 5'000 }; // from an evacuation order until no new request may reach the data centre
    // From the store's acknowledgement of the operators' document until it must be in force on all hosts.
    Millis rulesDeadline { 2'000 };
    Millis shutdownGrace { 6'000 }; // from the request to stop to the end of the process
    // Key for the fingerprints of requests that crash servers, in logs and in the store; the same on all hosts.
    std::string fingerprintKey;
    double retryRatio = 0.2; // retries per request that all hosts together may send ...
    double retrySlack = 60; // ... plus this many retries per window
    SlotBrokerMode slotBrokers = SlotBrokerMode::Auto;
    // Hosts that lose their network path to the servers forward requests to others, which take them at the port of
    // HostSettings::peers plus this; 0: requests are neither forwarded nor taken.
    unsigned forwardPortOffset = 0;
};

struct TimingSettings {
    Millis heartbeatInterval { 250 }; // between two heartbeats to a peer
    Millis lease { 600 }; // routing lease
    Millis driftMargin { 100 };
    Millis leaderLease { 2000 }; // of the assigner's election in the store
    Millis rereadInterval { 5000 }; // full re-read of the store, in case a watch stops delivering events
    Millis probeInterval { 200 }; // between two probes of a backend server
    Millis probeTimeout { 300 };
    Millis hostListLag { 5000 }; // documented lag of the host list; an unlisted host still counts for this long
    Millis shutdownGrace { 600'000 }; // from the request to stop to the end of the process, for uploads in progress
};

struct LimitSettings {
    size_t callerConnections = 20'000;
    size_t bodyMemory = 64'000'000; // bytes of request bodies being received, over all connections
    size_t responseMemory = 32'000'000; // bytes of responses that callers have not read yet, over all connections
    size_t connectionResponseBytes = 1'000'000; // the same on one connection; beyond it no further request is read
    size_t pipelinedRequests = 8; // on one connection, without an answer yet
    size_t headerBytes = 16'384;
    size_t keyBytes = 1'024;
    Millis headerTimeout { 10'000 }; // to receive all headers of a request, from its first byte
    Millis bodyIdleTimeout { 30'000 }; // without a byte of the body received
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
