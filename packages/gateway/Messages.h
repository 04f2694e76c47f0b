// Messages between the control thread and the routing thread, over two bounded ring buffers.
#pragma once

#include "base/Time.h"
#include "decisions/BrokerPlan.h"
#include "decisions/CrashEvidence.h"
#include "decisions/ForwardTargets.h"
#include "decisions/GrantPlan.h"
#include "decisions/GrantTable.h"
#include "decisions/RateLimit.h"
#include "decisions/RouteRules.h"
#include "decisions/RulesFreshness.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cumindale {

using ServerMap = GrantPlan::Servers; // by id

// The coordinator's answer for one server that a report named.
struct ServerAdvice {
    enum class Kind : uint8_t { Room, Share, Permits };
    Kind kind = Kind::Room; // Room: no limit needed
    double share = 0; // concurrent requests to the server
    unsigned permits = 0; // requests that may start beyond those at the server
    Millis permitInterval { 0 }; // expected time until the next permit
};

using RateLimits = std::map<std::string, PerSecond, std::less<>>; // by server id

// The answer to a report.
struct HostShares {
    uint64_t number = 0; // sequence number of the answers to this host
    size_t hosts = 0; // number of hosts that share the servers; 0: not known yet
    std::map<std::string, ServerAdvice, std::less<>> servers; // by id
    std::shared_ptr<const RateLimits> limits; // rate limits in force; null: none
    std::shared_ptr<const BrokerList> brokers; // of slots; null: none known
    std::shared_ptr<const std::vector<ForwardTarget>> forwardTargets; // null: none known
};

// Requests that crash servers, as known from all hosts together.
struct CrashUpdate {
    std::set<Fingerprint> suspects;
    std::set<Fingerprint> quarantined;
    bool operator==(const CrashUpdate&) const = default;
};

// A server that was registered or whose entry has changed, or one that is registered no more.
struct ServerChange {
    std::string id;
    std::shared_ptr<const RegisteredServer> entry; // null: registered no more
};

// From control to routing. Empty members mean no change.
struct GatewayUpdate {
    std::shared_ptr<const RouteRules> rules;
    std::optional<RulesValidity> rulesValidity;
    bool hasReadStore = false; // this host has read the entries of all servers
    std::vector<ServerChange> servers;
    bool allServers = false; // `servers` names every registered server; all others are gone
    int64_t serversAsOf = 0; // with `servers`: the host knew all writes of others up to this revision of the store
    std::vector<std::shared_ptr<const GrantTable>> tables;
    std::shared_ptr<const HostShares> shares;
    std::shared_ptr<const CrashUpdate> crashes;
    bool coordinatorLost = false; // this host may become the coordinator
    bool newCoordinator = false; // it has none of the reports that its predecessor received
    std::vector<std::string> crowded; // servers that need permits from now on
};

struct KeyUse {
    uint32_t key = 0;
    uint64_t busyMicros = 0;
};

// This host's use of one server: means over the report's period, unless noted.
struct ServerUse {
    double inFlight = 0; // requests at the server
    double waiting = 0; // requests on this host that wait for a slot at the server
    Millis meanWork { 0 }; // mean duration of the requests that ended; 0: none ended
    unsigned present = 0; // requests at the server at the time of the report
    unsigned waitingNow = 0; // requests that wait at the time of the report
    unsigned overdue = 0; // part of `present`: unanswered for several times the usual duration
};

// A rate limit that a server announced in a response.
struct AnnouncedLimit {
    std::string server;
    std::optional<PerSecond> limit; // no value: the server announces none any more
    Instant at {};
};

// From routing to control.
struct GatewayReport {
    Millis period { 0 };
    std::map<std::string, std::vector<KeyUse>> keys; // by service
    std::map<std::string, ServerUse> servers; // by id; idle ones are left out
    uint64_t lastSharesNumber = 0; // HostShares::number of the newest answer received before the report
    bool urgent = false; // a request waits for a permit, or there is news that can't wait
    std::vector<ServerCrash> crashes;
    std::vector<Fingerprint> answered; // suspects that a server has answered
    std::vector<std::string> leaving; // servers that announce it in responses while their entries don't
    std::vector<AnnouncedLimit> rates; // announced recently
    bool cutOff = false; // the host reaches no server, so what it has seen of servers says nothing about them
    bool exchangesSlots = false; // the socket for slot messages is open, so this host may become a broker
};

}
