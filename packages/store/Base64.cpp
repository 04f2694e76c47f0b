#include "store/Base64.h"

#include <boost/beast/core/detail/base64.hpp>

namespace cumindale {

std::string toBase64(std::string_view text)
{
    namespace base64 = boost::beast::detail::base64;
    std::string out(base64::encoded_size(text.size()), '\0');
    out.resize(base64::encode(out.data(), text.data(), text.size()));
    return out;
}

std::string fromBase64(std::string_view text)
{
    namespace base64 = boost::beast::detail::base64;
    constexpr size_t group = 4; // characters that encode three bytes
    // The decoder writes past a buffer sized for whole groups if the text ends in the middle of a group.
    if (text.size() % group)
        return {};
    std::string out(base64::decoded_size(text.size()), '\0');
    const auto [written, read] = base64::decode(out.data(), text.data(), text.size());
    constexpr size_t longestPadding = 2;
    const std::string_view rest = text.substr(read);
    if (rest.size() > longestPadding || rest.find_first_not_of('=') != std::string_view::npos)
        return {};
    out.resize(written);
    return out;
}

}
