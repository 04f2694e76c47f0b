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
    std::string out(base64::decoded_size(text.size()), '\0');
    const auto [written, read] = base64::decode(out.data(), text.data(), text.size());
    out.resize(written);
    return out;
}

}
