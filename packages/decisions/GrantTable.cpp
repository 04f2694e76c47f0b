#include "decisions/GrantTable.h"

#include <algorithm>

namespace cumindale {

const KeyRange* GrantTable::find(uint32_t key) const
{
    const auto after = std::upper_bound(
        ranges.begin(), ranges.end(), key, [](uint32_t wanted, const KeyRange& range) { return wanted < range.first; });
    return after == ranges.begin() ? nullptr : &*std::prev(after);
}

GrantTableChange changeBetween(const GrantTable& earlier, const GrantTable& later)
{
    GrantTableChange change { later.service, earlier.edition, later.edition, {} };
    auto old = earlier.ranges.begin();
    for (const auto& range : later.ranges) {
        while (old != earlier.ranges.end() && old->first < range.first)
            ++old;
        if (old == earlier.ranges.end() || !(*old == range))
            change.ranges.push_back(range);
    }
    return change;
}

GrantTable applyChange(const GrantTable& table, const GrantTableChange& change)
{
    GrantTable result;
    result.service = table.service;
    result.edition = change.to;
    result.highestFence = table.highestFence;
    result.ranges.reserve(table.ranges.size() + change.ranges.size());
    auto news = change.ranges.begin();
    for (const auto& range : table.ranges) {
        // Whatever part of an old range the change doesn't replace is a range of the later edition too. Each old range
        // therefore lies entirely inside or entirely outside the ranges of the change.
        while (news != change.ranges.end() && news->first <= range.first)
            result.ranges.push_back(*news++);
        const bool replaced = !result.ranges.empty() && result.ranges.back().last >= range.last;
        if (!replaced && (result.ranges.empty() || result.ranges.back().last < range.first))
            result.ranges.push_back(range);
    }
    result.ranges.insert(result.ranges.end(), news, change.ranges.end());
    return result;
}

}
