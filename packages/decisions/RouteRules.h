// Routes by host name and path, as operators declare them in one versioned document. Plain values and lookups.
//
// Resources.h is the alternative, with one resource per service, selected by path prefix. A host uses one of the two.
#pragma once

#include "base/Time.h"
#include "decisions/WarmUp.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cumindale {

// Whether a request may be sent again after a failure.
enum class RetryPolicy : uint8_t {
    Idempotent, // may run any number of times
    Download, // like Idempotent, with a large answer
    AtMostOnce, // each request runs at most once
    Upload, // like AtMostOnce, with a large body
};

struct WeightedService {
    std::string service;
    unsigned weight = 1;
};

struct HostRoute {
    std::string name;
    std::string host; // as in the Host header, without a port
    std::string pathPrefix; // begins and ends with a slash
    RetryPolicy retryPolicy = RetryPolicy::AtMostOnce;
    Millis timeout { 1000 }; // maximum time that a caller waits
    Millis target { 500 }; // an answer within this time has its full value
    unsigned priority = 0; // rank; 0 is the highest
    unsigned maxAttempts = 1; // maximum number of servers to which one request is sent
    std::vector<WeightedService> services; // at least one

    bool hasService(std::string_view) const;
    bool idempotent() const { return retryPolicy == RetryPolicy::Idempotent || retryPolicy == RetryPolicy::Download; }
};

struct RoutedService {
    std::string name;
    std::string healthPath;
    unsigned connections = 120; // maximum for each server, over all hosts
    bool keyed = false; // partitioned by key: a server runs a request only while it is granted the request's key
    WarmUpLimit warmUp {};
};

// Limits on the size and duration of callers' requests.
struct CallerBounds {
    int64_t revision = 0; // of the document in the store
    uint64_t headerBytes = 16'384;
    uint64_t bodyBytes = 8'000'000;
    Millis headerTimeout { 10'000 };
    Millis idleTimeout { 60'000 };
};

// One version of all routes and services.
class RouteRules {
public:
    int64_t version = 0;
    int64_t revision = 0; // of the document in the store
    CallerBounds bounds;

    void add(HostRoute); // replaces the route with the same host and prefix
    void add(RoutedService);

    // The host's route with the longest prefix that matches the path; null if there is none.
    const HostRoute* match(std::string_view host, std::string_view path) const;
    const RoutedService* service(std::string_view name) const; // null if unknown
    const std::map<std::string, RoutedService, std::less<>>& services() const { return m_services; }
    bool ranksCompete() const { return m_ranks.size() > 1; } // routes have different ranks
    size_t routeCount() const { return m_routes.size(); }

private:
    std::unordered_map<std::string, HostRoute> m_routes; // by host and prefix
    std::map<std::string, RoutedService, std::less<>> m_services;
    std::set<unsigned> m_ranks; // of the routes
};

// Distributes requests over the services of a route in proportion to their weights (smooth weighted round robin), so
// that the proportions hold over any few hundred requests and not only on average.
class TrafficSplitter {
public:
    const std::string& next(const HostRoute&);

private:
    std::unordered_map<std::string, std::vector<int64_t>> m_credits; // by route name; one for each service
};

// One incarnation of a server, as it registered itself.
struct RegisteredServer {
    std::string id; // of this incarnation: serverId(name, born)
    std::string service;
    std::string address; // IP number
    uint16_t port = 0;
    std::string dataCentre;
    unsigned slots = 1; // maximum number of concurrent requests
    bool leaving = false;
    Millis warmupLeft { 0 }; // remaining warm-up time after its start, as its entry says
    Instant warmupEnd {}; // end of the warm-up by this host's clock
    // Operators have evacuated its data centre: no new requests go to the servers there.
    bool evacuated = false;
    Instant leavingSince {}; // when the server announced that it is leaving, as far as this host can tell
    Instant evacuatedSince {}; // likewise of the evacuation
    // The server's entry was missing when this host could read the store again: either the server has left, or its
    // entry expired while the store was unavailable and will be written again. Until this is known, the server gets
    // requests only if no other server can take them.
    bool unconfirmed = false;
    std::string name {}; // as the server names itself
    int64_t born = 0; // start time in Unix ms; 0: unknown

    bool warmingUp(Instant now) const { return now < warmupEnd; }
    bool draining() const { return leaving || evacuated; } // it gets no new requests, and its keys move
    bool operator==(const RegisteredServer&) const = default;
};

}
