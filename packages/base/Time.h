// Time types used throughout the project: whole milliseconds on a monotonic clock.
//
// Decision logic never reads a clock; the current Instant is passed in. Only the code that drives it holds a Clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace cumindale {

using Millis = std::chrono::milliseconds;

// Tag type that makes Instant a distinct type from the time points of the standard clocks.
struct MonotonicDomain {
    using rep = Millis::rep;
    using period = Millis::period;
    using duration = Millis;
    using time_point = std::chrono::time_point<MonotonicDomain, Millis>;
    static constexpr bool is_steady = true;
};

using Instant = MonotonicDomain::time_point; // a time point on this host's monotonic clock

constexpr Instant instantFromMillis(int64_t ms) { return Instant(Millis(ms)); }
constexpr int64_t toMillis(Instant instant) { return instant.time_since_epoch().count(); }

// Time source, injected so that tests can control it.
class Clock {
public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0; // monotonic; keeps advancing while the process is stopped
    virtual int64_t unixMillis() const = 0; // wall clock, for absolute deadlines sent to servers
    virtual int64_t monotonicMicros() const = 0; // for spans and latency only
};

class SystemClock final : public Clock {
public:
    Instant now() const override;
    int64_t unixMillis() const override;
    int64_t monotonicMicros() const override;
};

}
