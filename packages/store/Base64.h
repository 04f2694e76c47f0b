// Base64 encoding of keys and values in the JSON bodies of the store (RFC 4648, section 4, with padding).
#pragma once

#include <string>
#include <string_view>

namespace cumindale {

std::string toBase64(std::string_view);
std::string fromBase64(std::string_view); // empty if malformed

}
