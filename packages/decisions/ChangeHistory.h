// What others changed in the store lately, for hosts that have missed a part of it.
//
// The load that it answers: some hundred hosts, a change every quarter of a second, and a document of a megabyte. A
// host that misses a message of some hundred bytes would have to read all of it, which takes a small link longer than
// the next changes take to come. From the history it gets just what it missed, with the answer to its next report.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cumindale {

// An item as it was written, or its erasure.
struct ItemChange {
    std::string key;
    std::string value;
    int64_t revision = 0;
    bool erased = false;
    size_t plainBytes = 0; // the value is deflated, from so many bytes; 0: it is as written
    size_t leftOutBytes = 0; // the value isn't here, and is so long; 0: it is
};

struct ChangeHistoryOptions {
    // Two documents of some thousand routes, deflated, or a thousand changes of servers' entries: minutes of a rolling
    // replacement. A host that is further behind reads the store; the smallest links carry this in a quarter of a
    // second.
    size_t maxBytes = 262'144;
    // A value beyond this is told once and never repeated: whoever missed it reads that one item. An answer with it
    // would take the smallest links more than a tenth of a second, a quarter of what a report waits.
    size_t maxValueBytes = 131'072;
};

class ChangeHistory {
public:
    explicit ChangeHistory(const ChangeHistoryOptions& = {});

    void add(int64_t after, int64_t last, std::span<const ItemChange>); // all changes after `after`, up to `last`
    int64_t last() const { return m_last; }
    std::optional<std::vector<ItemChange>> changesSince(
        int64_t knownRevision) const; // nothing: it doesn't reach so far back

private:
    ChangeHistoryOptions m_options;
    std::deque<ItemChange> m_changes; // ascending; all of those after m_begin
    size_t m_bytes = 0;
    int64_t m_begin = 0;
    int64_t m_last = 0;
};

}
