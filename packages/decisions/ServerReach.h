// Tells whether this host, rather than single servers, has lost its network path to the backend servers.
//
// Load pattern: a host sends some tens of requests a second over open connections to dozens of servers, and opens a new
// connection now and then. A partition between the host and all servers shows in one of three ways: open connections
// are reset and new ones refused, or both hang, or open connections go on working while new ones are refused. To the
// host, a crashed server or a lost data centre looks the same on its own connections. What differs is that other
// servers still accept new connections, so new connections to several servers are the evidence: a suspicion arises when
// they fail to several servers in a row, and a check of servers in different data centres decides.
//
// Answers over open connections neither confirm nor refute a partition, but a server that answers is used on. While the
// host is cut off, one server at a time is probed; several that accept a connection in a row end the state. A partition
// may leave some of the servers within reach, and these accept connections all the time. So either one of those that
// accept must have refused before, or most servers must accept.
//
// decisions/ServerPaths.h deals with single servers that this host doesn't reach.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

struct ServerReachOptions {
    // Distinct servers. A single server that accepts no connections has most likely crashed.
    size_t failuresUntilSuspicion = 2;
    Millis failureLifetime { 3'000 }; // of a failed connection as a reason for suspicion
    size_t probesPerCheck = 3;
    Millis checkInterval { 500 }; // between two checks that find a path
    size_t successesUntilReconnected = 3; // distinct servers in a row
};

struct ProbeOutcome {
    std::string server;
    bool connected = false;
};

class ServerReach {
public:
    explicit ServerReach(ServerReachOptions options = {})
        : m_options(options)
    {
    }

    // --- Events
    // A new connection was opened. `servers`: number that this host could probe in all.
    void connected(std::string_view server, size_t servers);
    void connectFailed(std::string_view server, Instant now);
    void answered(std::string_view server, Instant now); // a response arrived, over whichever connection
    void checked(size_t probes, size_t failures, Instant now); // a check has ended
    void checked(std::span<const ProbeOutcome>, Instant now); // and has found this
    void retain(const std::function<bool(std::string_view server)>& isKnown); // forgets all other servers

    // --- State
    bool cutOff() const { return m_cutOff; }
    bool suspicious(Instant now) const; // connections fail to several servers in a row
    bool mayCheck(Instant now) const { return !m_cutOff && now - m_checkedAt >= m_options.checkInterval; }
    Instant lastAnswer() const { return m_lastAnswer; } // from any server

    // What is known of one server since the host was cut off. While it isn't, all servers connect.
    enum class Path : uint8_t {
        Unknown,
        Fails, // the last new connection failed
        Connects, // the last new connection was opened
        AnswersOnly, // over open connections
    };
    Path pathTo(std::string_view server) const;

private:
    struct Evidence {
        bool tried = false; // a new connection
        bool connected = false; // the last new connection
        bool answered = false;
    };

    void setCutOff(bool);
    bool mostServersConnect() const;

    ServerReachOptions m_options;
    bool m_cutOff = false;
    Instant m_checkedAt {};
    Instant m_lastAnswer {};
    std::map<std::string, Instant, std::less<>> m_failures; // since the last connection that was opened, by server
    std::set<std::string, std::less<>> m_successes; // in a row while cut off, by server
    bool m_anyRestored = false; // one of m_successes had failed before
    std::map<std::string, Evidence, std::less<>> m_evidence; // while cut off, by server
};

struct ProbeCandidate {
    std::string_view server;
    std::string_view dataCentre;
};

// Indices of up to `count` candidates, of as many data centres as possible: with a data centre lost, most of them can
// still be reached. `random` varies the choice.
std::vector<size_t> chooseProbes(std::span<const ProbeCandidate>, size_t count, uint64_t random);

}
