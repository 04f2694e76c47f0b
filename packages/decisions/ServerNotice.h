// What a server says of itself in its answers: that it is about to leave, that it wants no requests for a while, or how
// many requests a second it takes.
//
// Load pattern: while the store is away, or can't be reached by the server, its answers are the only way in which a
// server can tell that it leaves. A server that is overloaded asks the hosts for rest; those that send on, and send
// what was refused again, keep it overloaded.
#pragma once

#include "base/Time.h"

#include <optional>
#include <string_view>

namespace cumindale {

struct ServerNotice {
    bool leaving = false;
    Millis retryAfter { 0 }; // from the answer on
    bool malformed = false; // a part of it could not be understood, and counts as not said
    std::optional<double> limit; // requests a second from all hosts together
    bool limitUnreadable = false; // one is named that can't be read: what was named before goes on

    bool any() const { return leaving || retryAfter > Millis(0) || malformed || limit; }
    bool operator==(const ServerNotice&) const = default;
};

// `leaving`, `retryAfter`, `limit`: values of the answer's headers, empty without them; several values of one are
// joined by commas. Rest is asked for by a refusal (503) only, in seconds with or without a fraction. Of several limits
// the lowest counts.
ServerNotice parseServerNotice(
    unsigned status, std::string_view leaving, std::string_view retryAfter, std::string_view limit = {});

}
