// What the routing duty keeps for one backend server, and for one service.
#pragma once

#include "backends/Prober.h"
#include "backends/ServerPool.h"
#include "decisions/HotKeys.h"
#include "decisions/SliceTable.h"

#include <map>
#include <memory>
#include <vector>

namespace cumindale {

// One backend server as this host reaches it.
struct ServerTarget {
    ServerTarget(boost::asio::any_io_executor, const Clock&, const ServerResource&, MonitorOptions);
    ~ServerTarget();

    void abandonDispatchesBefore(Instant); // idempotent requests under way that began before are tried elsewhere

    ServerPool pool;
    std::shared_ptr<Prober> prober;
    bool acceptedNewWork = true; // as of the last probe
    std::map<BackendConnection*, Instant> abandonable; // with idempotent requests under way, since when
};

// One service by the table that this host dispatches by.
struct ServiceRoute {
    explicit ServiceRoute(std::shared_ptr<const SliceTable>);

    std::shared_ptr<const SliceTable> table;
    SliceIndex index;
    std::vector<std::shared_ptr<ServerTarget>> servers; // by the table's server index; null if not declared
    Instant leaseValidUntil {};
    bool hasStoppingSlices = false; // has stopping slices
    std::vector<uint64_t> busyMicros; // by slice, since the last load report
    HotKeys hotKeys;
};

}
