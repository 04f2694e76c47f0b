// What a server announces about itself in response headers: that it is shutting down, that it wants no requests for a
// while, or how many requests a second it accepts.
//
// Load pattern: while the store is down, or the server can't reach it, response headers are the server's only way to
// announce a shutdown. An overloaded server asks the hosts to back off; hosts that keep sending, and retry what was
// refused, keep the server overloaded.
#pragma once

#include "base/Time.h"

#include <optional>
#include <string_view>

namespace cumindale {

struct ServerNotice {
    bool leaving = false; // the server is shutting down
    Millis retryAfter { 0 }; // no requests for this long, from the response on
    bool malformed = false; // a header value could not be parsed, and is ignored
    std::optional<double> limit; // requests a second from all hosts together
    bool limitUnreadable = false; // the limit header has no valid value: the previous limit stays in force

    bool any() const { return leaving || retryAfter > Millis(0) || malformed || limit; }
    bool operator==(const ServerNotice&) const = default;
};

// `leaving`, `retryAfter`, `limit`: values of the response headers, empty without the header; several values of one
// header are joined by commas. `retryAfter` counts in a refusal (503) only, in seconds with or without a fraction. The
// lowest of several limits counts.
ServerNotice parseServerNotice(
    unsigned status, std::string_view leaving, std::string_view retryAfter, std::string_view limit = {});

}
