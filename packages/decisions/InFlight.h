// What this host has sent to servers and what may still run there.
//
// A dispatch without an answer stays in flight until its deadline, even when its connection is long closed: a
// frozen server may hold the request in a socket buffer and run it when it wakes. It ends earlier only by a
// whole answer, or when nothing listens at the server's address any more and the connection was ended: then
// the process that held the request is gone.
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
    void answered(DispatchId); // a whole answer came, or surely nothing was sent
    void connectionEnded(DispatchId); // no answer: it stays until its deadline
    void serverGone(std::string_view server); // refuses connections: drops what connectionEnded() was called for
    void removeExpired(Instant now); // call it before busy()
    std::vector<BusySlice> busy(const SliceTable&) const; // stopping slices of its service with something in flight
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
    std::multimap<Instant, DispatchId> m_ended; // those whose connection ended, by deadline
};

}
