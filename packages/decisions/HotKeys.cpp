#include "decisions/HotKeys.h"

#include <algorithm>

namespace cumindale {

HotKeys::HotKeys(size_t capacity)
    : m_capacity(capacity)
{
}

void HotKeys::insert(uint64_t point, uint64_t weight, uint64_t error)
{
    const auto order = m_order.emplace(weight, point);
    m_entries[point] = { weight, error, order };
}

void HotKeys::add(uint64_t point, uint64_t weight)
{
    m_total += weight;
    const auto found = m_entries.find(point);
    if (found != m_entries.end()) {
        const Entry old = found->second;
        m_order.erase(old.order);
        insert(point, old.weight + weight, old.error);
        return;
    }
    if (m_entries.size() < m_capacity) {
        insert(point, weight, 0);
        return;
    }
    const auto lightest = m_order.begin();
    const uint64_t inherited = lightest->first;
    m_entries.erase(lightest->second);
    m_order.erase(lightest);
    insert(point, inherited + weight, inherited);
}

std::vector<HeavyKey> HotKeys::heaviest(size_t limit) const
{
    std::vector<HeavyKey> keys;
    for (const auto& [point, entry] : m_entries)
        keys.push_back({ point, entry.weight, entry.error });
    std::sort(keys.begin(), keys.end(), [](const HeavyKey& a, const HeavyKey& b) {
        const uint64_t guaranteedA = a.weight - a.error;
        const uint64_t guaranteedB = b.weight - b.error;
        return guaranteedA != guaranteedB ? guaranteedA > guaranteedB : a.point < b.point;
    });
    if (keys.size() > limit)
        keys.resize(limit);
    return keys;
}

void HotKeys::clear()
{
    m_total = 0;
    m_entries.clear();
    m_order.clear();
}

}
