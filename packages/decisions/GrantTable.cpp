#include "decisions/GrantTable.h"

#include <algorithm>

namespace cumindale {

const KeyRange* GrantTable::find(uint32_t key) const
{
    const auto after = std::upper_bound(
        ranges.begin(), ranges.end(), key, [](uint32_t wanted, const KeyRange& range) { return wanted < range.first; });
    return after == ranges.begin() ? nullptr : &*std::prev(after);
}

}
