// Decides whether a backend server is lost, from the hosts' own observations alone: health and load endpoints lag or
// mislead.
//
// Each host monitors each server through its own probes and requests (ServerMonitor). The assigner declares a server
// lost when enough hosts, in more than one data centre, can't reach it (isServerLost). If only one host is cut off from
// a server, nothing moves.
#pragma once

#include "base/Time.h"
#include "decisions/Roster.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

enum class Reachability : uint8_t {
    Unknown, // not observed yet
    Reachable, // answered recently
    Unresponsive, // no connection or no answer: may be frozen, and may resume with old work
    Refused, // connections are refused: no process listens there, so its work is gone
};

struct MonitorOptions {
    Millis probeInterval { 200 };
    Millis probeTimeout { 300 }; // a probe without an answer within this time counts as missed
    unsigned missesUntilUnresponsive = 2;
    unsigned refusalsUntilRefused = 2; // a server that restarts quickly refuses only once
};

// One host's view of one server, updated by probes and by any answer to a request.
class ServerMonitor {
public:
    explicit ServerMonitor(MonitorOptions);
    void answered(Instant);
    void probeMissed(Instant);
    void refused(Instant);
    Reachability reachability() const { return m_reachability; }
    bool acceptsNewWork() const; // whether this host should send new work to the server
    Instant lastAnswer() const { return m_lastAnswer; }

private:
    MonitorOptions m_options;
    Reachability m_reachability = Reachability::Unknown;
    unsigned m_misses = 0;
    unsigned m_refusals = 0;
    Instant m_lastAnswer {};
};

// One host's view of a server.
struct Observation {
    std::string_view host;
    Reachability reachability = Reachability::Unknown;
};

// A server is lost if a majority of the hosts that have observed it can't reach it. These must be at least two hosts
// unless the roster counts only one, and in at least two data centres unless all hosts that have observed the server
// are in one.
bool isServerLost(const Roster&, const std::vector<Observation>&);

}
