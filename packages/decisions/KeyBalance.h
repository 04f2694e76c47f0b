// Evens the load of numbered keys out over the servers that hold them.
//
// The load is measured in milliseconds of server time a second, for each key. Hot keys lie close together and change
// within minutes, so ranges are cut where the load is, not at fixed points. A key that alone is more than a server's
// fair share stays where it is, and its neighbours move away from it: moving it would only move the trouble. One that
// its server can't keep up with goes to a server that is faster by much, where there is one.
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

// Load of each key, as hosts report it; forgets with a half-life.
class KeyLoad {
public:
    void add(uint32_t key, double millis);
    void decay(double factor); // once per interval
    double sumOver(uint32_t first, uint32_t last) const; // sum over a range; call index() first
    double total() const { return m_sums.empty() ? 0 : m_sums.back(); }
    void buildPrefixSums(); // makes the sums that of() uses
    double loadOf(uint32_t number) const { return m_load.empty() ? 0 : m_load[number]; }

private:
    std::vector<double> m_load; // by key; empty until the first load
    std::vector<double> m_sums; // prefix sums, one more than keys
};

struct BalanceOptions {
    // A server is relieved when it has more than this many times the mean load for its slots; below it, a move
    // costs its keys more (a pause of some 100 ms) than it gains.
    double tolerance = 1.2;
    // With few requests in the time that is remembered, a server looks overloaded by chance: its load must exceed
    // the tolerance by so many standard deviations of a count of requests (Poisson).
    double standardDeviations = 2.5;
    double requestMillis = 100; // one request counts for so much load
    double loadDecaySeconds = 3; // mean life of a load
    double minUtilization = 0.25; // of its slots; an almost idle server is left alone
    // For each server, apart from their load: keys without a request lately count a little, so that new servers
    // get a part of the space.
    double keyCountWeight = 0.15;
    size_t maxConcurrentMoves = 12; // each is a pause for its keys
    double newServerShare = 0.5; // a server without keys gets this part of a fair share at once
    // A key goes to a faster server once it asks for more than this part of what its own can do, if the other can do so
    // many times as much: speeds are measured to about 10%, and each move is a pause for the key.
    double heavyKeyUtilization = 0.8;
    double minSpeedup = 1.3;
    double workMillis = 100; // of one request at a server of mean speed; a load counts `requestMillis` for each
};

struct BalanceMove {
    uint32_t first = 0;
    uint32_t last = 0;
    std::string to;
    bool toEmptyServer = false; // to a server that held nothing
    bool heavyKey = false; // a key that its server can't keep up with
};

// What one server can take and how it does.
struct ServerCapacity {
    std::string id;
    double slots = 1; // requests at once, at the speed of the mean server
};

// `moving`: ranges that move already count for the server they move to, and are left alone.
std::vector<BalanceMove> planBalance(
    std::span<const KeyRange> ranges, const KeyLoad&, std::span<const ServerCapacity> servers, const BalanceOptions&);

}
