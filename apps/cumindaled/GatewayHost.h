// An entry host on a platform that has a document of routes and whose servers enforce grants. Each of these tasks has a
// thread; the threads exchange messages through bounded rings.
//
//     routing    connections of callers and backend servers, routing of each request
//     control    store, coordinator election, reports between hosts
//     operators  readiness for the load balancer, metrics, status
#pragma once

#include "resources/Settings.h"

namespace cumindale {

// Runs until SIGTERM or SIGINT, then finishes every accepted request. `file` is the path of the settings
// file; SIGHUP only logs it, and the settings stay as they are. Returns the exit status.
int runGatewayHost(const Settings&, const std::string& file);

}
