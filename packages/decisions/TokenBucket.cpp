#include "decisions/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace cumindale {

void TokenBucket::setRate(double perSecond, double capacity, Instant now)
{
    m_tokens = std::min(capacity, available(now));
    m_updatedAt = now;
    m_perSecond = perSecond;
    m_capacity = capacity;
}

double TokenBucket::available(Instant now) const
{
    const double seconds = static_cast<double>((now - m_updatedAt).count()) / 1000;
    return std::clamp(m_tokens + seconds * m_perSecond, 0.0, m_capacity);
}

unsigned TokenBucket::take(unsigned wanted, Instant now)
{
    m_tokens = available(now);
    m_updatedAt = now;
    const unsigned taken = m_tokens < wanted ? static_cast<unsigned>(m_tokens) : wanted;
    m_tokens -= taken;
    return taken;
}

Instant TokenBucket::nextTokenAt(Instant now) const
{
    if (hasToken(now))
        return now;
    if (m_perSecond <= 0)
        return Instant::max();
    return now + Millis(static_cast<int64_t>(std::ceil((1 - available(now)) / m_perSecond * 1000)));
}

}
