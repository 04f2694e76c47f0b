#include "decisions/ServerIdentity.h"

#include <algorithm>
#include <cctype>

namespace cumindale {

namespace {

    constexpr char separator = '@'; // the last one in the id separates: names may contain any character

}

std::string serverId(std::string_view name, int64_t born)
{
    std::string id(name);
    id += separator;
    id += std::to_string(born);
    return id;
}

std::string_view serverNameOf(std::string_view id)
{
    const auto at = id.rfind(separator);
    if (at == std::string_view::npos || at + 1 == id.size())
        return id;
    const std::string_view born = id.substr(at + 1);
    const bool digits = std::all_of(born.begin(), born.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
    return digits ? id.substr(0, at) : id;
}

}
