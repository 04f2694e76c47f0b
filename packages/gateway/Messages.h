// What the control duty and the routing duty say to each other, over two bounded rings.
#pragma once

#include "base/Time.h"
#include "decisions/GrantPlan.h"
#include "decisions/GrantTable.h"
#include "decisions/RouteRules.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cumindale {

using ServerMap = GrantPlan::Servers; // by id

// How many requests this host may have at once at each server.
struct SlotShares {
    size_t hosts = 0; // that share the servers; 0: not known yet
    std::map<std::string, double, std::less<>> slots; // by server id; a server that is missing is shared evenly
};

// Control to routing. Empty members mean "as before".
struct GatewayUpdate {
    std::shared_ptr<const RouteRules> rules;
    std::shared_ptr<const ServerMap> servers;
    int64_t serversAsOf = 0; // with `servers`: the newest change of others that the host knew of
    std::vector<std::shared_ptr<const GrantTable>> tables;
    std::shared_ptr<const SlotShares> shares;
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
};

// Routing to control.
struct GatewayReport {
    Millis over { 0 };
    std::map<std::string, std::vector<KeyUse>> keys; // by service
    std::map<std::string, ServerUse> servers; // by id; idle ones are left out
};

}
