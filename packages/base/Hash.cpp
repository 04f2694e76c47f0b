#include "base/Hash.h"

#include <cstdio>
#include <xxhash.h>

namespace cumindale {

std::string formatPoint(uint64_t point)
{
    char buffer[17];
    std::snprintf(buffer, sizeof buffer, "%016llx", static_cast<unsigned long long>(point));
    return buffer;
}

uint64_t hashOf(uint64_t seed, std::initializer_list<std::string_view> parts)
{
    uint64_t hash = seed;
    for (const std::string_view part : parts)
        hash = XXH3_64bits_withSeed(part.data(), part.size(), hash ^ part.size());
    return hash;
}

uint64_t pointOfKey(std::string_view key) { return XXH3_64bits(key.data(), key.size()); }

}
