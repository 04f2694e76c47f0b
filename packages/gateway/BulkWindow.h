// Bounds the bytes of large messages that one link carries at the same moment.
//
// Load pattern: a table of a hundred kB goes to some eighty relays. Sent together, the copies hold the host's link for
// half a second, and the renewal of its leadership, and the answers to reports, wait behind them beyond their time
// limits. So a large message waits until those before it have been answered.
#pragma once

#include "web/Signal.h"

#include <cstddef>

namespace cumindale {

class BulkWindow {
public:
    BulkWindow(boost::asio::any_io_executor, size_t bytes);

    // Waits until there is room. A message that is larger than the window is sent alone.
    boost::asio::awaitable<void> enter(size_t bytes);
    void leave(size_t bytes);

private:
    size_t m_limit;
    size_t m_inFlight = 0;
    Signal m_left;
};

}
