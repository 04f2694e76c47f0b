#include "gateway/BulkPacer.h"

#include "web/Signal.h"

#include <algorithm>

namespace cumindale {

namespace {

    // A few messages of middling size go at once: a tenth of a second of a link of 20 Mbit/s.
    constexpr size_t burstBytes = 262'144;

}

BulkPacer::BulkPacer(const Clock& clock, size_t bytesPerMillisecond)
    : m_clock(clock)
    , m_bytesPerMillisecond(bytesPerMillisecond)
{
}

boost::asio::awaitable<void> BulkPacer::enter(size_t bytes)
{
    const Instant now = m_clock.now();
    m_freeAt = std::max(now, m_freeAt) + Millis(bytes / m_bytesPerMillisecond);
    const Millis ahead = m_freeAt - now - Millis(burstBytes / m_bytesPerMillisecond);
    if (ahead > Millis(0))
        co_await sleepFor(ahead);
}

}
