#include "web/LoopMonitor.h"

#include "web/Signal.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>

namespace cumindale {

namespace {

    boost::asio::awaitable<void> measureDelays(const Clock& clock, Distribution& delays)
    {
        constexpr Millis interval { 20 };
        for (;;) {
            const int64_t due = clock.monotonicMicros() + interval.count() * 1000;
            co_await sleepFor(interval);
            delays.add(static_cast<double>(std::max<int64_t>(0, clock.monotonicMicros() - due)));
        }
    }

}

void startLoopMonitor(boost::asio::any_io_executor executor, const Clock& clock, Distribution& delays)
{
    spawnLoop(std::move(executor), "loop monitor", measureDelays(clock, delays));
}

}
