// A clock that a test sets.
#pragma once

#include "base/Time.h"

namespace cumindale {

class SetClock final : public Clock {
public:
    Instant now() const override { return time; }
    int64_t unixMillis() const override { return 0; }
    int64_t monotonicMicros() const override { return 0; }

    Instant time = instantFromMillis(1'000'000);
};

}
