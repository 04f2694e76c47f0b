// How all hosts together keep to the number of requests a second that a server names in its answers.
//
// Such a server is in need: what it names may be a tenth of what it did before, and less than one request from each
// host. So the sum over all hosts is what counts:
//
// - KnownRateLimit, on each host: what this host knows of a server's limit, by its own answers and by the coordinator.
// - RateLedger, at the coordinator: the newest word of each server, and a token bucket for each limit. Requests go to
//   such a server only with its permits.
// - RateTurns, on each host, while no coordinator answers: each host sends in turns of its own. That keeps the sum, but
//   not every turn meets a request.
//
// Load pattern: a server that is asked for ten requests a second names a limit of two; 8, 58 or 300 hosts, of which
// each has a request for it now and then.
#pragma once

#include "base/Time.h"
#include "decisions/TokenBucket.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cumindale {

using PerSecond = double; // requests, from all hosts together

// Of a limit, what all hosts together may take in turns of their own: they may be cut off from a coordinator that gives
// the whole to the others.
constexpr double uncoordinatedFraction = 0.5;

// Below, a limit counts as so much: an answer now and then must tell whether the server still names it.
constexpr PerSecond minLimit = 0.1;

// What one host knows of one server's limit. Nothing: it names none.
class KnownRateLimit {
public:
    struct Observation {
        std::optional<PerSecond> limit;
        Instant at {};
    };

    // --- What is heard
    void heardFromServer(std::optional<PerSecond>, Instant now); // by the server, in an answer to this host
    void heardFromCoordinator(
        std::optional<PerSecond>, Instant now); // by the coordinator, with each answer to a report
    void repeatToNewCoordinator(); // it knows nothing of what its predecessor was told

    // --- What follows
    std::optional<PerSecond> limit() const; // in force
    bool coordinatorSilent(Instant now) const; // this host: no coordinator has answered it lately
    std::optional<Observation> toReport(Instant now) const; // nothing: no news

private:
    std::optional<Observation> m_fromServer; // nothing: never a limit, nor its end
    std::optional<PerSecond> m_fromCoordinator;
    Instant m_coordinatorAnsweredAt {};
};

// The times at which one host may send a request to one server.
class LocalRateLimiter {
public:
    // `phase`, from 0 to 1: of this host's first turn, at random, so that the hosts' turns are spread.
    explicit LocalRateLimiter(double phase)
        : m_phase(phase)
    {
    }

    void setLimit(PerSecond, size_t hosts, Instant now); // before the others, and with each change
    bool maySend(Instant now) const { return nextSendAt(now) <= now; }
    void recordSend(Instant now);
    Instant nextSendAt(Instant now) const; // the first moment at which a turn is open

private:
    double m_phase;
    bool m_usesTimeSlots = false; // a turn that is not used in time is lost
    TokenBucket m_bucket; // turns, where they don't lapse
    Millis m_period { 0 }; // between two turns, where they lapse
    Instant m_slotStart {}; // the present one or the next one, likewise
};

// What all hosts have heard of all servers' limits, and the permits for them.
class GlobalRateLimiter {
public:
    // --- From reports: what was said last counts. Nothing: the server names no limit any more.
    void limitReported(std::string_view server, std::optional<PerSecond>, Instant at, Instant now);
    template <typename Predicate> void retainServers(Predicate keeps) // `keeps`: of a server's id
    {
        std::erase_if(m_servers, [&](const auto& entry) {
            const bool removed = !keeps(entry.first);
            m_edition += removed && entry.second.limit;
            return removed;
        });
    }
    void clear() { m_servers.clear(); }

    // --- What follows
    bool isLimited(std::string_view server) const { return limitOf(server).has_value(); }
    std::optional<PerSecond> limitOf(std::string_view server) const;
    template <typename Function> void forEachLimit(Function function) const // of a server's id and its limit
    {
        for (const auto& [server, state] : m_servers) {
            if (state.limit)
                function(server, *state.limit);
        }
    }
    uint64_t edition() const { return m_edition; } // of what hosts must know; it grows with each change that matters
    // Of `wanted` requests those that may be sent now; all, where there is no limit.
    unsigned takePermits(std::string_view server, unsigned wanted, Instant now);
    bool hasSpare(std::string_view server, Instant now) const; // permits that nobody asked for lately, some at least
    // Between two permits for one of so many hosts.
    Millis permitPause(std::string_view server, size_t hosts) const;

private:
    struct State {
        std::optional<PerSecond> limit;
        Instant observedAt {};
        PerSecond publishedLimit = 0; // in the present edition
        TokenBucket permits;
    };

    std::map<std::string, State, std::less<>> m_servers; // also those that named one before
    uint64_t m_edition = 1;
};

}
