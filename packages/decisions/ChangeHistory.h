// Recent changes of the store, for hosts that have missed some of them.
//
// Load pattern: some hundred hosts, a change every quarter of a second, and a document of a megabyte. Without the
// history, a host that misses a message of some hundred bytes would have to read the whole store, which takes a small
// link longer than the interval between changes. With it, the answer to the host's next report carries just the changes
// that the host missed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cumindale {

// A write or deletion of an item.
struct ItemChange {
    std::string key;
    std::string value;
    int64_t revision = 0;
    bool erased = false;
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
    explicit ChangeHistory(const ChangeHistoryOptions& = {});

    // Takes all changes with revisions above `after`, up to `last`.
    void add(int64_t after, int64_t last, std::span<const ItemChange>);
    int64_t last() const { return m_last; }
    // Nothing if the history doesn't reach back to that revision, or if the changes exceed `maxBytes`.
    std::optional<std::vector<ItemChange>> changesSince(int64_t knownRevision, size_t maxBytes = SIZE_MAX) const;

private:
    ChangeHistoryOptions m_options;
    std::deque<ItemChange> m_changes; // by ascending revision; all changes after m_begin
    size_t m_bytes = 0;
    int64_t m_begin = 0;
    int64_t m_last = 0;
};

}
