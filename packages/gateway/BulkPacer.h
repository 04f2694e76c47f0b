// Spaces out the large messages of one host by the time that its link needs for them.
//
// Load pattern: a table of a hundred kB goes to some eighty relays. Sent together, the copies hold the host's link for
// half a second, and the renewal of its leadership, and the answers to reports, wait behind them beyond their time
// limits. The receivers' answers don't tell when the link is free: a receiver with a tenth of a core takes a second to
// read the message.
#pragma once

#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <cstddef>

namespace cumindale {

class BulkPacer {
public:
    BulkPacer(const Clock&, size_t bytesPerMillisecond);

    boost::asio::awaitable<void> enter(size_t bytes); // waits until the message may be sent

private:
    const Clock& m_clock;
    size_t m_bytesPerMillisecond;
    Instant m_freeAt {}; // the link has sent all messages so far
};

}
