// Tracks which changes of the store a host has received: all up to one revision, and spans of later ones.
//
// Load pattern: a change every quarter of a second while servers are replaced, and a host that has missed one of them.
// The changes that the host receives next don't follow directly on those that it knows. If it dropped them, it would
// have to read all of them again. Instead they are recorded as a span, which counts as soon as the gap before it is
// closed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace cumindale {

class KnownChanges {
public:
    int64_t complete() const { return m_complete; } // all changes up to this revision are known
    bool hasGap() const { return !m_spans.empty(); } // later changes are known
    void markCompleteUpTo(int64_t revision);
    void add(int64_t after, int64_t last); // all changes with revisions above `after`, up to `last`, are known

private:
    void mergeSpans();

    int64_t m_complete = 0;
    std::map<int64_t, int64_t> m_spans; // `after` -> `last`; each begins above m_complete
};

}
