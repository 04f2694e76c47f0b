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

enum class Sight : uint8_t {
    Unknown, // not observed yet
    Reachable, // answered lately
    Silent, // accepts nothing or answers nothing: may be frozen, and may come back with old work
    Refused, // connections are refused: no process listens there, so its work is gone
};

struct WatchOptions {
    Millis probeEvery { 200 };
    Millis answerWithin { 300 }; // a probe without an answer for this long is missed
    unsigned missesUntilSilent = 2;
    unsigned refusalsUntilRefused = 2; // a server that restarts quickly refuses once
};

// One host's view of one server. Fed by probes; any answer to a dispatch counts as well.
class ServerWatch {
public:
    explicit ServerWatch(WatchOptions);
    void answered(Instant);
    void probeMissed(Instant);
    void refused(Instant);
    Sight sight() const { return m_sight; }
    bool takesWork() const; // whether this host should send it new work
    Instant lastAnswer() const { return m_lastAnswer; }

private:
    WatchOptions m_options;
    Sight m_sight = Sight::Unknown;
    unsigned m_misses = 0;
    unsigned m_refusals = 0;
    Instant m_lastAnswer {};
};

// What one host sees of a server.
struct Observation {
    std::string_view host;
    Sight sight = Sight::Unknown;
};

// Lost: a majority of the hosts that have an opinion, at least two of them where there are two, and in at least
// two data centres where those hosts stand in two, can't reach it.
bool isLost(const Roster&, const std::vector<Observation>&);

}
