#include "decisions/SliceTable.h"

#include <algorithm>
#include <bit>

namespace cumindale {

size_t SliceTable::indexOf(uint64_t point) const
{
    const auto after = std::upper_bound(
        slices.begin(), slices.end(), point, [](uint64_t value, const Slice& slice) { return value < slice.begin; });
    return static_cast<size_t>(after - slices.begin()) - 1;
}

uint64_t SliceTable::lastPointOf(size_t index) const
{
    return index + 1 < slices.size() ? slices[index + 1].begin - 1 : UINT64_MAX;
}

std::string_view SliceTable::serverName(ServerIndex server) const
{
    return server < servers.size() ? std::string_view(servers[server]) : std::string_view();
}

ServerIndex SliceTable::internServer(std::string_view name)
{
    const auto found = std::find(servers.begin(), servers.end(), name);
    if (found != servers.end())
        return static_cast<ServerIndex>(found - servers.begin());
    servers.emplace_back(name);
    return static_cast<ServerIndex>(servers.size() - 1);
}

size_t SliceTable::splitAt(uint64_t point)
{
    const size_t index = indexOf(point);
    if (slices[index].begin == point)
        return index;
    Slice upper = slices[index];
    upper.begin = point;
    slices.insert(slices.begin() + static_cast<ptrdiff_t>(index) + 1, upper);
    return index + 1;
}

std::string_view validationError(const SliceTable& table)
{
    if (table.slices.empty())
        return "no slices";
    const bool lowering = table.inFlightWorkLimit > table.workLimit;
    if (table.workLimit.count() < 0 || table.inFlightWorkLimit < table.workLimit
        || lowering != (table.loweredInVersion != 0) || table.loweredInVersion > table.version)
        return "work limits are inconsistent";
    if (table.slices.front().begin)
        return "the first slice does not begin at 0";
    for (size_t i = 0; i < table.slices.size(); ++i) {
        const Slice& slice = table.slices[i];
        if (i && slice.begin <= table.slices[i - 1].begin)
            return "slices are not in order";
        if (slice.fence >= table.nextFence)
            return "a fence is not below nextFence";
        const bool owned = slice.state != SliceState::Unowned;
        if (owned != (slice.owner != noServer) || (owned && slice.owner >= table.servers.size()))
            return "a slice's owner does not match its state, or does not exist";
        if (slice.successor != noServer && slice.successor >= table.servers.size())
            return "a successor does not exist";
        if ((slice.state == SliceState::Stopping) != (slice.stoppedInVersion != 0)
            || slice.stoppedInVersion > table.version)
            return "a stop version does not match its slice's state, or is newer than the table";
    }
    return {};
}

SliceIndex::SliceIndex(const SliceTable& table)
    : m_table(&table)
{
    // About two buckets per slice, so that a lookup skips less than one slice on average.
    const unsigned bits = std::clamp<unsigned>(std::bit_width(table.slices.size()) + 1, 1, 20);
    m_shift = 64 - bits;
    m_firstSlice.resize(size_t(1) << bits);
    size_t slice = 0;
    for (size_t bucket = 0; bucket < m_firstSlice.size(); ++bucket) {
        const uint64_t firstPoint = static_cast<uint64_t>(bucket) << m_shift;
        while (slice + 1 < table.slices.size() && table.slices[slice + 1].begin <= firstPoint)
            ++slice;
        m_firstSlice[bucket] = static_cast<uint32_t>(slice);
    }
}

size_t SliceIndex::indexOf(uint64_t point) const
{
    const size_t bucket = point >> m_shift;
    size_t low = m_firstSlice[bucket];
    size_t high = bucket + 1 < m_firstSlice.size() ? m_firstSlice[bucket + 1] : m_table->slices.size() - 1;
    // A bucket usually holds few slices, but the narrow slices of hot keys can fill one bucket: hence a binary search.
    while (low < high) {
        const size_t middle = low + (high - low + 1) / 2;
        if (m_table->slices[middle].begin <= point)
            low = middle;
        else
            high = middle - 1;
    }
    return low;
}

}
