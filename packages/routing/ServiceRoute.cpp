#include "routing/ServiceRoute.h"

#include <algorithm>

namespace cumindale {

namespace {

    constexpr size_t hotKeyCapacity = 1'024;

}

ServerTarget::ServerTarget(boost::asio::any_io_executor executor, const Clock& clock, const ServerResource& resource,
    MonitorOptions monitor, std::shared_ptr<ResponseMemory> memory)
    : pool(std::move(executor), clock, resource, monitor, std::move(memory))
{
}

ServerTarget::~ServerTarget()
{
    if (prober)
        prober->stop();
}

void ServerTarget::abandonDispatchesBefore(Instant limit)
{
    for (const auto& [connection, startedAt] : abandonable) {
        if (startedAt < limit)
            connection->cancelExchange();
    }
}

ServiceRoute::ServiceRoute(std::shared_ptr<const SliceTable> adopted)
    : table(std::move(adopted))
    , index(*table)
    , hasStoppingSlices(std::any_of(table->slices.begin(), table->slices.end(),
          [](const Slice& slice) { return slice.state == SliceState::Stopping; }))
    , busyMicros(table->slices.size(), 0)
    , hotKeys(hotKeyCapacity)
{
}

}
