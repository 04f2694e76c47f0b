// Is a backend server lost? Only the hosts' own observations count; health and load endpoints lag or mislead.
//
// Each host watches each server through its own probes and dispatches (ServerWatch). The assigner declares a
// server lost when enough hosts, in more than one data centre, can't reach it (isLost). One host cut off from
// a server is not enough: nothing moves for it.
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
    Reachable, // answered lately
    Unresponsive, // accepts nothing or answers nothing: may be frozen, and may come back with old work
    Refused, // connections are refused: no process listens there, so its work is gone
};

struct MonitorOptions {
    Millis probeInterval { 200 };
    Millis probeTimeout { 300 }; // a probe without an answer for this long is missed
    unsigned missesUntilUnresponsive = 2;
    unsigned refusalsUntilRefused = 2; // a server that restarts quickly refuses once
};

// One host's view of one server. Fed by probes; any answer to a dispatch counts as well.
class ServerMonitor {
public:
    explicit ServerMonitor(MonitorOptions);
    void answered(Instant);
    void probeMissed(Instant);
    void refused(Instant);
    Reachability reachability() const { return m_reachability; }
    bool acceptsNewWork() const; // whether this host should send it new work
    Instant lastAnswer() const { return m_lastAnswer; }

private:
    MonitorOptions m_options;
    Reachability m_reachability = Reachability::Unknown;
    unsigned m_misses = 0;
    unsigned m_refusals = 0;
    Instant m_lastAnswer {};
};

// What one host sees of a server.
struct Observation {
    std::string_view host;
    Reachability reachability = Reachability::Unknown;
};

// Lost: a majority of the hosts that have an opinion, at least two of them where there are two, and in at least
// two data centres where those hosts stand in two, can't reach it.
bool isServerLost(const Roster&, const std::vector<Observation>&);

}
