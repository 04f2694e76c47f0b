// Where a key lies in its service's space. XXH3, 64 bits (xxhash library).
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace cumindale {

std::string pointText(uint64_t point); // 16 hexadecimal digits
// Of several texts, told apart by their lengths; another one for each `seed`.
uint64_t hashOf(uint64_t seed, std::initializer_list<std::string_view> parts);
uint64_t pointOfKey(std::string_view key); // the same on every host and in every version: tables depend on it

}
