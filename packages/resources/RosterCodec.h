// JSON encoding of the roster in the store.
#pragma once

#include "decisions/Roster.h"

#include <optional>
#include <string>
#include <string_view>

namespace cumindale {

std::string encodeRoster(const Roster&);
std::optional<Roster> decodeRoster(std::string_view text); // nullopt if malformed

}
