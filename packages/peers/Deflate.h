// Compression of messages between hosts (raw deflate, RFC 1951).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cumindale {

std::string deflated(std::string_view);
// Returns nothing if the input is not valid deflate data or does not decompress to exactly `size` bytes.
std::optional<std::string> inflated(std::string_view, size_t size);

}
