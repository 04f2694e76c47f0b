// Identity of a backend server: the name that it registers under and its start time.
//
// A server may restart under its previous name. The new incarnation owns no keys, has seen no fencing token and works
// on nothing that was sent to the previous one. All state about a server, in memory and in the store, is therefore kept
// under an id that names one incarnation, so that state or late messages of a previous incarnation are not attributed
// to the current one. Only messages to a server use its plain name.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cumindale {

// `born`: start time of the server, Unix ms; 0 if the server doesn't give one.
std::string serverId(std::string_view name, int64_t born);

// The name in an id. Returns the whole id if it was not made by serverId().
std::string_view serverNameOf(std::string_view id);

}
