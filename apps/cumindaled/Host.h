// An entry host. Each of these tasks has a thread; the threads exchange messages through bounded rings.
//
//     routing    connections of callers and backend servers, routing of each request
//     control    store, peers, election, assigner
//     operators  administration API, metrics
#pragma once

#include "resources/Settings.h"

namespace cumindale {

// Runs until SIGTERM or SIGINT, then finishes every accepted request. Returns the exit status.
int runHost(const Settings&);

}
