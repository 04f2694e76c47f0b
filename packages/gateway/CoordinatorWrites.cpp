#include "gateway/CoordinatorWrites.h"

#include "resources/FleetSizeCodec.h"
#include "resources/GrantTableCodec.h"
#include "resources/QuarantineCodec.h"

namespace cumindale {

std::vector<Compare> conditionsOf(const PendingWrite& write, const Compare& leadership, const PlatformView& view)
{
    std::vector<Compare> conditions { leadership };
    // A write without an answer may take effect seconds later. It must not replace a list that was written since.
    if (!write.hosts.empty())
        conditions.push_back({ listedHostsKey(), view.listedRevision() });
    for (const auto& table : write.tables) {
        const std::string key = grantTableKey(table.service);
        conditions.push_back({ key, view.modRevisionOf(key) });
    }
    return conditions;
}

std::vector<WriteOperation> operationsOf(const PendingWrite& write)
{
    std::vector<WriteOperation> writes;
    for (const auto& table : write.tables)
        writes.push_back({ grantTableKey(table.service), encodeGrantTable(table) });
    if (!write.hosts.empty())
        writes.push_back({ listedHostsKey(), encodeListedHosts(write.hosts) });
    if (write.fleetSize)
        writes.push_back({ fleetSizeKey(), encodeFleetSize(*write.fleetSize) });
    if (write.quarantine)
        writes.push_back({ quarantineKey(), *write.quarantine });
    return writes;
}

}
