// State that the router keeps for each backend server and for each service.
#pragma once

#include "backends/Prober.h"
#include "backends/ServerPool.h"
#include "decisions/HotKeys.h"
#include "decisions/SliceTable.h"

#include <map>
#include <memory>
#include <vector>

namespace cumindale {

// This host's connections to one backend server, and the prober that watches it.
struct ServerTarget {
    ServerTarget(boost::asio::any_io_executor, const Clock&, const ServerResource&, MonitorOptions,
        std::shared_ptr<ResponseMemory>);
    ~ServerTarget();

    // Abandons idempotent dispatches that started before the given time, so that they are retried.
    void abandonDispatchesBefore(Instant);

    ServerPool pool;
    std::shared_ptr<Prober> prober;
    bool acceptedNewWork = true; // whether the monitor accepted new work after the last probe that changed its view
    std::map<BackendConnection*, Instant> abandonable; // connections with an idempotent dispatch, and its start
};

// Routing state of one service, for the table version that this host dispatches by.
struct ServiceRoute {
    explicit ServiceRoute(std::shared_ptr<const SliceTable>);

    std::shared_ptr<const SliceTable> table;
    SliceIndex index;
    std::vector<std::shared_ptr<ServerTarget>> servers; // by ServerIndex; null if not in the configuration
    Instant leaseValidUntil {}; // end of the routing lease for this table version
    bool hasStoppingSlices = false;
    std::vector<uint64_t> busyMicros; // server time by slice since the last load report, in microseconds
    HotKeys hotKeys; // since the last load report
};

}
