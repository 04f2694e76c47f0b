// Tracks the dispatches of this host that may still run at a server.
//
// A dispatch without an answer stays in flight until its deadline, even after its connection is closed: a frozen
// server may hold the request in a socket buffer and run it once it resumes. A dispatch ends before its deadline only
// when its complete answer arrives, or when its connection has ended and the server's address refuses connections:
// then the process that held the request no longer exists.
#pragma once

#include "base/Time.h"
#include "decisions/SliceTable.h"
#include "decisions/StopGate.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cumindale {

using DispatchId = uint64_t;

class InFlight {
public:
    DispatchId add(std::string_view service, std::string_view server, uint64_t point, Instant deadline);
    void answered(DispatchId); // the complete answer arrived, or certainly nothing was sent
    void connectionEnded(DispatchId); // no answer: the dispatch stays in flight until its deadline
    void serverGone(std::string_view server); // refuses connections: drops its dispatches whose connection ended
    void removeExpired(Instant now); // to be called before busy()
    std::vector<BusySlice> busy(const SliceTable&) const; // stopping slices of the table with dispatches in flight
    size_t size() const { return m_dispatches.size(); }

private:
    struct Dispatch {
        std::string service;
        std::string server;
        uint64_t point = 0;
        Instant deadline;
        bool ended = false;
    };

    DispatchId m_next = 1;
    std::unordered_map<DispatchId, Dispatch> m_dispatches;
    std::multimap<Instant, DispatchId> m_ended; // dispatches whose connection ended, by deadline
};

}
