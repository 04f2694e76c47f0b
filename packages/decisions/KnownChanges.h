// Which changes of the store a host knows of: all up to one, and spans of later ones.
//
// The load that it answers: a change every quarter of a second while servers are replaced, and a host that has missed
// one of them. What it hears afterwards doesn't follow what it knows. Left unheard, all of it would have to be read
// again; noted as a span, it counts as soon as the gap before it is closed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace cumindale {

class KnownChanges {
public:
    int64_t complete() const { return m_complete; } // every change up to this revision is known
    void markCompleteUpTo(int64_t revision);
    void add(int64_t after, int64_t last); // every change after `after` up to `last` is known

private:
    void mergeSpans();

    int64_t m_complete = 0;
    std::map<int64_t, int64_t> m_spans; // after -> last; each begins beyond m_complete
};

}
