#include "decisions/ChangeHistory.h"

#include <algorithm>

namespace cumindale {

namespace {

    size_t sizeOf(const ItemChange& change) { return change.key.size() + change.value.size(); }

}

ChangeHistory::ChangeHistory(const ChangeHistoryOptions& options)
    : m_options(options)
{
}

void ChangeHistory::add(int64_t after, int64_t last, std::span<const ItemChange> changes)
{
    // The changes between m_last and `after` are unknown, as after a read of the store.
    if (after != m_last) {
        m_changes.clear();
        m_bytes = 0;
        m_begin = after;
    }
    for (const auto& change : changes) {
        ItemChange& kept = m_changes.emplace_back(change);
        if (kept.value.size() > m_options.maxValueBytes) {
            kept.leftOutBytes = kept.value.size();
            kept.value = {};
        }
        m_bytes += sizeOf(kept);
    }
    m_last = last;
    while (m_bytes > m_options.maxBytes) {
        m_begin = m_changes.front().revision;
        m_bytes -= sizeOf(m_changes.front());
        m_changes.pop_front();
    }
}

std::optional<std::vector<ItemChange>> ChangeHistory::changesSince(int64_t knownRevision, size_t maxBytes) const
{
    if (knownRevision < m_begin)
        return std::nullopt;
    const auto first = std::partition_point(
        m_changes.begin(), m_changes.end(), [&](const ItemChange& change) { return change.revision <= knownRevision; });
    size_t bytes = 0;
    for (auto change = first; change != m_changes.end() && bytes <= maxBytes; ++change)
        bytes += sizeOf(*change);
    if (bytes > maxBytes)
        return std::nullopt;
    return std::vector<ItemChange>(first, m_changes.end());
}

}
