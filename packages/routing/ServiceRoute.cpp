#include "routing/ServiceRoute.h"

#include <algorithm>

namespace cumindale {

namespace {

    constexpr size_t hotKeyCounters = 1'024;

}

ServerTarget::ServerTarget(
    boost::asio::any_io_executor executor, const Clock& clock, const ServerResource& resource, MonitorOptions watch)
    : pool(std::move(executor), clock, resource, watch)
{
}

ServerTarget::~ServerTarget()
{
    if (prober)
        prober->stop();
}

void ServerTarget::abandonOlderThan(Instant limit)
{
    for (const auto& [connection, began] : abandonable) {
        if (began < limit)
            connection->abandon();
    }
}

ServiceRoute::ServiceRoute(std::shared_ptr<const SliceTable> adopted)
    : table(std::move(adopted))
    , index(*table)
    , stopping(std::any_of(table->slices.begin(), table->slices.end(),
          [](const Slice& slice) { return slice.state == SliceState::Stopping; }))
    , busyMicros(table->slices.size(), 0)
    , hotKeys(hotKeyCounters)
{
}

}
