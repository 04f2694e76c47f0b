#include "decisions/ChangeHistory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cumindale {

namespace {

    size_t sizeOf(const ItemChange& change) { return change.key.size() + change.value.size(); }

}

ChangeHistory::ChangeHistory(const ChangeHistoryOptions& options, KeyPredicate onlyNewestCounts)
    : m_options(options)
    , m_onlyNewestCounts(std::move(onlyNewestCounts))
{
}

void ChangeHistory::add(int64_t after, int64_t last, std::span<const ItemChange> changes)
{
    Span added = spanOf(after, last, changes);
    if (touch(m_newest, added)) {
        join(m_newest, std::move(added));
    } else if (added.begin > m_newest.last) {
        // The changes between are unknown, as after a read of the store, or arrive later.
        m_earlier = std::exchange(m_newest, std::move(added));
    } else if (touch(m_earlier, added)) {
        join(m_earlier, std::move(added));
        trim(m_earlier);
    }
    if (touch(m_earlier, m_newest))
        join(m_newest, std::exchange(m_earlier, {}));
    const bool mayDrop = m_onlyNewestCounts
        && std::any_of(
            changes.begin(), changes.end(), [&](const ItemChange& change) { return m_onlyNewestCounts(change.key); });
    if (mayDrop)
        dropSuperseded(m_newest);
    trim(m_newest);
}

void ChangeHistory::dropSuperseded(Span& span) const
{
    std::set<std::string, std::less<>> later;
    for (auto change = span.changes.end(); change != span.changes.begin();) {
        --change;
        if (!m_onlyNewestCounts(change->key) || later.insert(change->key).second)
            continue;
        span.bytes -= sizeOf(*change);
        change = span.changes.erase(change);
    }
}

ChangeHistory::Span ChangeHistory::spanOf(int64_t after, int64_t last, std::span<const ItemChange> changes) const
{
    Span span { after, last, {}, 0 };
    for (const auto& change : changes) {
        if (change.revision <= after || change.revision > last)
            continue;
        ItemChange& kept = span.changes.emplace_back(change);
        if (kept.value.size() > m_options.maxValueBytes) {
            kept.leftOutBytes = kept.value.size();
            kept.value = {};
        }
        span.bytes += sizeOf(kept);
    }
    return span;
}

bool ChangeHistory::touch(const Span& a, const Span& b) { return a.begin <= b.last && b.begin <= a.last; }

void ChangeHistory::join(Span& span, Span other)
{
    if (other.begin < span.begin)
        std::swap(span, other);
    for (auto& change : other.changes) {
        if (change.revision <= span.last)
            continue;
        span.bytes += sizeOf(change);
        span.changes.push_back(std::move(change));
    }
    span.last = std::max(span.last, other.last);
}

void ChangeHistory::trim(Span& span) const
{
    while (span.bytes > m_options.maxBytes) {
        span.begin = span.changes.front().revision;
        span.bytes -= sizeOf(span.changes.front());
        span.changes.pop_front();
    }
}

std::optional<std::vector<ItemChange>> ChangeHistory::changesSince(int64_t knownRevision, size_t maxBytes) const
{
    if (knownRevision < m_newest.begin)
        return std::nullopt;
    const auto& changes = m_newest.changes;
    const auto first = std::partition_point(
        changes.begin(), changes.end(), [&](const ItemChange& change) { return change.revision <= knownRevision; });
    size_t bytes = 0;
    for (auto change = first; change != changes.end() && bytes <= maxBytes; ++change)
        bytes += sizeOf(*change);
    if (bytes > maxBytes)
        return std::nullopt;
    return std::vector<ItemChange>(first, changes.end());
}

}
