// Maps keys to points in the 64-bit hash space of their service (XXH3 of the xxhash library).
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace cumindale {

std::string formatPoint(uint64_t point); // 16 hexadecimal digits
// Hash of a list of texts. Their lengths are hashed too, so that lists with equal concatenations differ. Each `seed`
// gives a different hash function.
uint64_t hashOf(uint64_t seed, std::initializer_list<std::string_view> parts);
// The result must be identical on all hosts and in all versions, because routing tables depend on it.
uint64_t pointOfKey(std::string_view key);

}
