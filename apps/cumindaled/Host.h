// One entry host: the duties, a thread for each, joined by bounded rings.
//
//     routing    callers, backend servers, decisions for each request
//     control    store, peers, election, assigner
//     operators  administration API, metrics
#pragma once

#include "resources/Settings.h"

namespace cumindale {

// Runs until SIGTERM or SIGINT, then finishes every request it accepted. Returns the exit status.
int runHost(const Settings&);

}
