#include "decisions/LineBudget.h"

namespace cumindale {

LineBudget::LineBudget(size_t kinds, double linesPerSecond, double burst)
    : m_own(kinds)
{
    constexpr double sharedPart = 0.5;
    const Instant longAgo {}; // so that all buckets are full
    m_shared.setRate(sharedPart * linesPerSecond, sharedPart * burst, longAgo);
    const double ownPart = (1 - sharedPart) / static_cast<double>(kinds);
    for (auto& bucket : m_own)
        bucket.setRate(ownPart * linesPerSecond, ownPart * burst, longAgo);
}

bool LineBudget::take(size_t kind, Instant now) { return m_shared.take(1, now) || m_own[kind].take(1, now); }

}
