#include "base/Time.h"

#include <ctime>

namespace cumindale {

Instant SystemClock::now() const { return instantFromMillis(monotonicMicros() / 1000); }

int64_t SystemClock::unixMillis() const
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

int64_t SystemClock::monotonicMicros() const
{
    // CLOCK_BOOTTIME also counts the time during which the machine is suspended. CLOCK_MONOTONIC would stop, and a
    // resumed host would treat an expired lease as valid.
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return static_cast<int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1000;
}

}
