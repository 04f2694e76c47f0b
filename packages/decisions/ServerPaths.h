// Tells which backend servers this host reaches only through another host, while it reaches most of them itself.
//
// Load pattern: a partition between some hosts and some servers lasts for seconds, and each of these hosts sends some
// tens of requests a second to dozens of servers, of which up to half refuse its new connections. A server that has
// crashed refuses them as well, at all hosts. What differs is that other hosts are answered by the first kind of
// server. So a few requests are tried through another host, and its answer decides: if the server answers there, all
// requests to it go through other hosts until it accepts a connection of this host again. If it doesn't, the pauses
// between two tries grow, so that a server that has crashed gets few forwarded requests from however many hosts.
//
// decisions/ServerReach.h deals with the loss of the path to most servers.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

struct ServerPathOptions {
    // Requests to one server that are tried through other hosts at a time. They start before the first one is answered.
    size_t trialsAtOnce = 4;
    // After a server could not be reached through other hosts either.
    Millis minTrialPause { 500 };
    Millis maxTrialPause { 4'000 };
};

class ServerPaths {
public:
    explicit ServerPaths(ServerPathOptions options = {})
        : m_options(options)
    {
    }

    // --- Events: this host's own connections
    void connectFailed(std::string_view server);
    void connected(std::string_view server); // by a new connection
    void answered(std::string_view server); // over an open connection

    // --- Events: requests to the server that were forwarded because this host doesn't reach it
    bool startTrial(std::string_view server, Instant now); // false: none may start now
    void trialEnded(std::string_view server);
    void answeredElsewhere(std::string_view server);
    void unreachableElsewhere(std::string_view server, Instant now); // no host that was asked reached it

    void retain(const std::function<bool(std::string_view server)>& isKnown); // forgets all others
    void clear() { m_servers.clear(); }

    // --- State
    bool reachedThroughOthers(std::string_view server) const;
    bool answersOverOpenConnections(std::string_view server) const; // since the last failed connection
    std::vector<std::string> allReachedThroughOthers() const;

private:
    struct Path { // of a server whose last new connection failed
        bool throughOthers = false;
        bool answered = false;
        size_t trials = 0; // in progress
        Millis trialPause { 0 };
        Instant nextTrial {};
    };

    Path* pathTo(std::string_view server);
    const Path* pathTo(std::string_view server) const;

    ServerPathOptions m_options;
    std::map<std::string, Path, std::less<>> m_servers; // only those to which the last new connection failed
};

}
