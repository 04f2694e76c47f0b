// Balances the load of numbered keys over the servers that hold them.
//
// Load is measured per key, in milliseconds of server time a second. Hot keys lie close together and change within
// minutes, so ranges are split where the load is, not at fixed points. A key whose own load exceeds a server's fair
// share stays where it is, and its neighbours move away from it: moving the key would only move the overload. A key
// that its server can't keep up with moves to a much faster server if there is one.
#pragma once

#include "decisions/GrantTable.h"
#include "decisions/RouteRules.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

// Load of each key as reported by the hosts, with exponential decay.
class KeyLoad {
public:
    void add(uint32_t key, double millis);
    void decay(double factor); // once per interval
    double sumOver(uint32_t first, uint32_t last) const; // both ends included; call buildPrefixSums() first
    double total() const { return m_sums.empty() ? 0 : m_sums.back(); }
    void buildPrefixSums(); // for sumOver() and total()
    KeyLoad cappedAt(double maxLoad) const; // a copy in which no key has more load, with its prefix sums
    double loadOf(uint32_t number) const { return m_load.empty() ? 0 : m_load[number]; }

private:
    std::vector<double> m_load; // by key; empty until the first load
    std::vector<double> m_sums; // prefix sums, one more than keys
};

struct BalanceOptions {
    // A server counts as overloaded above this multiple of the mean load for its slots. Below it, a move costs its
    // keys more (a pause of some 100 ms) than it gains.
    double tolerance = 1.2;
    // With few requests within the decay time, a server looks overloaded by chance. Its load must exceed the tolerance
    // by this many standard deviations of the request count (Poisson).
    double standardDeviations = 2.5;
    double requestMillis = 100; // load that one request counts for
    double loadDecaySeconds = 3; // mean lifetime of a recorded load
    double minUtilization = 0.25; // of its slots; a server that is less busy is left alone
    // Fraction of the weight that is spread evenly over all keys, regardless of load. Keys without recent requests thus
    // count a little, so that new servers receive a part of the key space.
    double keyCountWeight = 0.15;
    size_t maxConcurrentMoves = 12; // each move pauses its keys
    double newServerShare = 0.5; // fraction of a fair share that a server without keys receives at once
    // A key moves to a faster server once its load exceeds this fraction of its server's capacity, if the other server
    // is at least `minSpeedup` times as fast. Speeds are measured to about 10%, and each move pauses the key.
    double heavyKeyUtilization = 0.8;
    double minSpeedup = 1.3;
    double workMillis = 100; // of one request at a server of mean speed; in the load each counts `requestMillis`
};

struct BalanceMove {
    uint32_t first = 0;
    uint32_t last = 0;
    std::string to;
    bool toEmptyServer = false; // to a server that held no keys
    bool heavyKey = false; // a single key that its server can't keep up with
};

// Capacity of one server.
struct ServerCapacity {
    std::string id;
    double slots = 1; // concurrent requests, scaled to the speed of the mean server
};

// Plans which ranges to move. Ranges that are already moving count for the server that they move to, and are left
// alone.
std::vector<BalanceMove> planBalance(
    std::span<const KeyRange> ranges, const KeyLoad&, std::span<const ServerCapacity> servers, const BalanceOptions&);

}
