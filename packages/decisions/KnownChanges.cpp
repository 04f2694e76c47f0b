#include "decisions/KnownChanges.h"

#include <algorithm>

namespace cumindale {

namespace {

    // A gap is closed by the answer to the next report, a quarter of a second later, and only a few messages arrive
    // until then. Spans beyond this limit are dropped, and their changes sent again.
    constexpr size_t maxSpans = 64;

}

void KnownChanges::markCompleteUpTo(int64_t revision)
{
    m_complete = std::max(m_complete, revision);
    mergeSpans();
}

void KnownChanges::add(int64_t after, int64_t last)
{
    if (after <= m_complete) {
        markCompleteUpTo(last);
        return;
    }
    int64_t& known = m_spans[after];
    known = std::max(known, last);
    if (m_spans.size() > maxSpans)
        m_spans.erase(std::prev(m_spans.end()));
}

void KnownChanges::mergeSpans()
{
    for (auto span = m_spans.begin(); span != m_spans.end() && span->first <= m_complete; span = m_spans.erase(span))
        m_complete = std::max(m_complete, span->second);
}

}
