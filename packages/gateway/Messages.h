// What the control duty and the routing duty say to each other, over two bounded rings.
#pragma once

#include "base/Time.h"
#include "decisions/CrashEvidence.h"
#include "decisions/GrantPlan.h"
#include "decisions/GrantTable.h"
#include "decisions/RateLimit.h"
#include "decisions/RouteRules.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cumindale {

using ServerMap = GrantPlan::Servers; // by id

// What the coordinator says of one server that a report named.
struct ServerAdvice {
    enum class Kind : uint8_t { Room, Share, Permits };
    Kind kind = Kind::Room; // Room: no need to share
    double share = 0; // requests there at once
    unsigned permits = 0; // that may start beyond those there: the server is crowded
    Millis permitInterval { 0 }; // until the next permit, about
};

using RateLimits = std::map<std::string, PerSecond, std::less<>>; // by server id

// The answer to a report.
struct HostShares {
    uint64_t number = 0; // of the answers that this host got
    size_t hosts = 0; // that share the servers; 0: not known yet
    std::map<std::string, ServerAdvice, std::less<>> servers; // by id
    std::shared_ptr<const RateLimits> limits; // in force; null: none
};

// What is known over all hosts of requests that crash servers.
struct CrashUpdate {
    std::set<Fingerprint> suspects;
    std::set<Fingerprint> quarantined;
    bool operator==(const CrashUpdate&) const = default;
};

// Control to routing. Empty members mean "as before".
struct GatewayUpdate {
    std::shared_ptr<const RouteRules> rules;
    std::shared_ptr<const ServerMap> servers;
    int64_t serversAsOf = 0; // with `servers`: the newest change of others that the host knew of
    std::vector<std::shared_ptr<const GrantTable>> tables;
    std::shared_ptr<const HostShares> shares;
    std::shared_ptr<const CrashUpdate> crashes;
    bool newCoordinator = false; // it hasn't heard of what its predecessor was told
    std::vector<std::string> crowded; // servers to which nothing goes without a permit from now on
};

struct KeyUse {
    uint32_t key = 0;
    uint64_t busyMicros = 0;
};

// What this host had at one server, as means over the report's time.
struct ServerUse {
    double inFlight = 0;
    double waiting = 0; // here, for a slot there
    Millis meanWork { 0 }; // 0: none ended
    unsigned present = 0; // there at the moment of the report
    unsigned waitingNow = 0; // here, likewise
    unsigned overdue = 0; // of those there: without an answer for several times the usual work
};

// What a server said in an answer of the requests that it takes.
struct AnnouncedLimit {
    std::string server;
    std::optional<PerSecond> limit; // nothing: it names none any more
    Instant at {};
};

// Routing to control.
struct GatewayReport {
    Millis period { 0 };
    std::map<std::string, std::vector<KeyUse>> keys; // by service
    std::map<std::string, ServerUse> servers; // by id; idle ones are left out
    uint64_t lastSharesNumber = 0; // number of the newest answer that the report knows of
    bool urgent = false; // a request waits for a permit
    std::vector<ServerCrash> crashes;
    std::vector<Fingerprint> answered; // of the suspects
    std::vector<std::string> leaving; // servers that say so in their answers and whose entries don't
    std::vector<AnnouncedLimit> rates; // said lately
};

}
