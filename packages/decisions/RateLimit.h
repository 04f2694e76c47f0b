// Limits the requests that all hosts together send to a server to the rate that the server announces in its responses.
//
// A server that announces a limit is overloaded or degraded: the limit may be a tenth of its usual rate, and less than
// one request a second for each host. The limit therefore applies to the sum over all hosts:
//
// - KnownRateLimit, on each host: what this host knows of a server's limit, from the server's responses to this
//   host and from the coordinator.
// - GlobalRateLimiter, at the coordinator: the newest limit of each server, with a token bucket for each. Requests to a
//   limited server need a permit from there.
// - LocalRateLimiter, on each host, while no coordinator answers: each host sends at times of its own. The sum stays
//   within the limit, but some of these times pass unused.
//
// Load pattern: a server that is asked for ten requests a second announces a limit of two; 8, 58 or 300 hosts, each of
// which has a request for the server now and then.
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

// The part of a limit that all hosts together may use with their LocalRateLimiters. These hosts may be cut off from a
// coordinator that gives the whole limit to the other hosts.
constexpr double uncoordinatedFraction = 0.5;

// Lower limits are raised to this one: an occasional response must show whether the server still announces its limit.
constexpr PerSecond minLimit = 0.1;

// What one host knows of one server's limit. No value: the server announces none.
class KnownRateLimit {
public:
    struct Observation {
        std::optional<PerSecond> limit;
        Instant at {};
    };

    // --- Input
    void heardFromServer(std::optional<PerSecond>, Instant now); // in a response to this host
    void heardFromCoordinator(std::optional<PerSecond>, Instant now); // in each answer to a report
    void repeatToNewCoordinator(); // a new coordinator has none of the reports that its predecessor received

    // --- Results
    std::optional<PerSecond> limit() const; // in force
    bool coordinatorSilent(Instant now) const; // no coordinator has answered this host recently
    std::optional<Observation> toReport(Instant now) const; // no value: nothing new

private:
    std::optional<Observation> m_fromServer; // no value: the server has announced no limit, nor the end of one
    std::optional<PerSecond> m_fromCoordinator;
    Instant m_coordinatorAnsweredAt {};
};

// The times at which one host may send a request to one server.
class LocalRateLimiter {
public:
    // `phase`, from 0 to 1: position of this host's first time slot in the period, random to spread the hosts' slots.
    explicit LocalRateLimiter(double phase)
        : m_phase(phase)
    {
    }

    void setLimit(PerSecond, size_t hosts, Instant now); // to be called first, and with each change
    bool maySend(Instant now) const { return nextSendAt(now) <= now; }
    void recordSend(Instant now);
    Instant nextSendAt(Instant now) const; // the first moment at which a request may be sent

private:
    double m_phase;
    bool m_usesTimeSlots = false; // periodic time slots that expire unused, instead of the token bucket
    TokenBucket m_bucket;
    Millis m_period { 0 }; // between the starts of two time slots
    Instant m_slotStart {}; // of the present or the next time slot
};

// The limits of all servers as reported by all hosts, and the permits for them.
class GlobalRateLimiter {
public:
    // --- From reports
    // The newest observation counts, by the time `at` of the server's response. No limit: the server announces none any
    // more.
    void limitReported(std::string_view server, std::optional<PerSecond>, Instant at, Instant now);
    template <typename Predicate> void retainServers(Predicate keeps) // `keeps`: called with a server's id
    {
        std::erase_if(m_servers, [&](const auto& entry) {
            const bool removed = !keeps(entry.first);
            m_edition += removed && entry.second.limit;
            return removed;
        });
    }
    void clear() { m_servers.clear(); }

    // --- Results
    bool isLimited(std::string_view server) const { return limitOf(server).has_value(); }
    std::optional<PerSecond> limitOf(std::string_view server) const;
    template <typename Function> void forEachLimit(Function function) const // called with a server's id and its limit
    {
        for (const auto& [server, state] : m_servers) {
            if (state.limit)
                function(server, *state.limit);
        }
    }
    uint64_t edition() const { return m_edition; } // version of the limits; grows with each change that hosts must know
    // Returns how many of `wanted` requests may be sent now; all of them if the server has no limit.
    unsigned takePermits(std::string_view server, unsigned wanted, Instant now);
    bool hasSpare(std::string_view server, Instant now) const; // more than half a bucket: recent demand was low
    // Average time between two permits for one of `hosts` hosts.
    Millis permitInterval(std::string_view server, size_t hosts) const;

private:
    struct State {
        std::optional<PerSecond> limit;
        Instant observedAt {};
        PerSecond publishedLimit = 0; // in the present edition; 0: none
        TokenBucket permits;
    };

    std::map<std::string, State, std::less<>> m_servers; // also those that announced a limit before
    uint64_t m_edition = 1;
};

}
