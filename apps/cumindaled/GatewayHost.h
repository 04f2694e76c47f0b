// One entry host on a platform with a document of routes and servers that enforce grants: the duties, a thread for
// each, joined by bounded rings.
//
//     routing    callers, backend servers, decisions for each request
//     control    store, coordinator's office, reports between hosts
//     operators  readiness for the balancer, metrics, status
#pragma once

#include "resources/Settings.h"

namespace cumindale {

// Runs until SIGTERM or SIGINT, then finishes every request it accepted. `file`: where the settings came from, read
// again at SIGHUP. Returns the exit status.
int runGatewayHost(const Settings&, const std::string& file);

}
