// Who a backend server is: the name that it registers under and the moment of its start.
//
// A server may start again under the name that it had. It then holds no keys, has seen no fence and works on nothing
// that its former incarnation was sent. Everything that is kept for a server, here and in the store, is therefore kept
// under an id that names one incarnation: what is known of a former incarnation, or arrives late about it, can't be
// taken for the present one. Only what is sent to a server names it as it names itself.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cumindale {

// `born`: the server's start, Unix ms; 0: it doesn't say.
std::string serverId(std::string_view name, int64_t born);

// The name in an id; an id that no serverId() made is its own name.
std::string_view serverNameOf(std::string_view id);

}
