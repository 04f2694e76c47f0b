#include "base/Random.h"

#include <random>

namespace cumindale {

uint64_t randomNumber()
{
    thread_local std::mt19937_64 engine { (uint64_t(std::random_device {}()) << 32) | std::random_device {}() };
    uint64_t value = 0;
    while (!value)
        value = engine();
    return value;
}

Millis randomUpTo(Millis limit)
{
    return Millis(static_cast<int64_t>(randomNumber() % static_cast<uint64_t>(limit.count() + 1)));
}

}
