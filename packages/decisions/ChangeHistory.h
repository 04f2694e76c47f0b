// Recent changes of the store, for hosts that have missed some of them.
//
// Load pattern: some hundred hosts, a change every quarter of a second, and a document of a megabyte. Without the
// history, a host that misses a message of some hundred bytes would have to read the whole store, which takes a small
// link longer than the interval between changes. With it, the answer to the host's next report carries just the changes
// that the host missed.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

// A write or deletion of an item.
struct ItemChange {
    std::string key;
    std::string value;
    int64_t revision = 0;
    bool erased = false;
    Instant writtenBy {}; // when it was written, as far as this host can tell
    size_t plainBytes = 0; // uncompressed size of a deflated value; 0: the value isn't compressed
    size_t leftOutBytes = 0; // size of a value that was omitted; 0: the value is present
};

struct ChangeHistoryOptions {
    // Room for two deflated documents of some thousand routes, or for a thousand changes of servers' entries: minutes
    // of a rolling replacement. A host that is further behind reads the store. The smallest links carry this much in a
    // quarter of a second.
    size_t maxBytes = 262'144;
    // A larger value is sent once and never repeated: a host that missed it reads that one item from the store. An
    // answer that carries a larger value would take the smallest links more than a tenth of a second, a quarter of a
    // report's timeout.
    size_t maxValueBytes = 131'072;
};

class ChangeHistory {
public:
    using KeyPredicate = std::function<bool(std::string_view key)>;

    // `onlyNewestCounts`: whether nobody needs an earlier change of this item who gets a later one. Servers' entries
    // are no such items, since the first one that tells of its leaving dates it.
    explicit ChangeHistory(const ChangeHistoryOptions& = {}, KeyPredicate onlyNewestCounts = {});

    // Takes all changes with revisions above `after`, up to `last`. A document overtakes servers' entries on its way,
    // so what precedes it may be added later.
    void add(int64_t after, int64_t last, std::span<const ItemChange>);
    int64_t last() const { return m_newest.last; }
    // Nothing if the history doesn't reach back to that revision, or if the changes exceed `maxBytes`.
    std::optional<std::vector<ItemChange>> changesSince(int64_t knownRevision, size_t maxBytes = SIZE_MAX) const;

private:
    // All changes with revisions above `begin`, up to `last`, by ascending revision.
    struct Span {
        int64_t begin = 0;
        int64_t last = 0;
        std::deque<ItemChange> changes;
        size_t bytes = 0;
    };

    Span spanOf(int64_t after, int64_t last, std::span<const ItemChange>) const;
    static bool touch(const Span&, const Span&);
    static void join(Span&, Span); // of spans that touch
    void trim(Span&) const;
    void dropSuperseded(Span&) const;

    ChangeHistoryOptions m_options;
    KeyPredicate m_onlyNewestCounts; // empty: of no item
    Span m_newest;
    Span m_earlier; // before a gap, as long as it may still be closed
};

}
