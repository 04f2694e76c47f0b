// Compression of what hosts tell each other (raw deflate, RFC 1951).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cumindale {

std::string deflated(std::string_view);
// Nothing: not deflated, or not of `size` bytes.
std::optional<std::string> inflated(std::string_view, size_t size);

}
