// Which requests a host that is stopping may still send to a server.
//
// Load pattern: a planned stop under ordinary load. Callers go on using open connections, slow uploads end late, and
// requests wait in queues, while the process is killed at the end of its grace period, whatever it is doing. A request
// that a server is working on then is cut off without an answer, and its caller can't tell whether it ran.
//
// A request whose deadline comes before the end is answered before the end, at the latest with a timeout. Any other one
// may be sent in the first half of the grace period if several times its usual duration fits into what is left.
// Otherwise it is refused, so that its caller can use another host at once.
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace cumindale {

class ShutdownWindow {
public:
    ShutdownWindow(Instant begin, Instant end)
        : m_half(begin + (end - begin) / 2)
        , m_end(end)
    {
    }

    // The last time at which a request with this deadline may be sent. `usual`: time that servers take for such a
    // request, as far as it is known.
    Instant latestSend(Instant deadline, Millis usual = Millis(0)) const
    {
        return deadline <= m_end ? deadline : std::min(m_half, m_end - usual * usualFactor);
    }
    bool maySend(Instant now, Instant deadline, Millis usual = Millis(0)) const
    {
        return now <= latestSend(deadline, usual);
    }

private:
    // Few requests take longer than this many times the usual duration, unless their server fails.
    static constexpr int usualFactor = 4;

    Instant m_half;
    Instant m_end;
};

}
