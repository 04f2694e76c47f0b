// Resources that operators declare: services, backend servers, placement rules and evacuations. These are plain values;
// their JSON form and its validation are in the package `resources`.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

// In order of preference between requests of the same age.
enum class PriorityClass : uint8_t {
    Interactive, // a user is waiting: lookups, menu reads
    Submission, // claims, orders
    Upload,
    Background, // archive reads: may wait, but must progress
};
constexpr size_t priorityClassCount = 4;

// The first rule that matches a request's method and path applies.
struct RouteRule {
    std::string method; // empty: any
    std::string pathPrefix; // below the service's prefix; empty: any
    bool idempotent = false;
    PriorityClass priority = PriorityClass::Interactive;
    Millis deadline { 1000 }; // from the request's arrival to its final answer
};

enum class KeySource : uint8_t { Header, PathSegment };

struct ServiceResource {
    std::string name;
    std::string pathPrefix; // requests whose path begins with it belong to the service
    KeySource keySource = KeySource::Header;
    std::string keyHeader; // for Header
    unsigned keySegment = 0; // for PathSegment: counted from 0 after the prefix
    std::vector<RouteRule> routes; // if none matches: GET and HEAD are idempotent lookups, the others submissions
    Millis longestWork { 1000 }; // longest duration of one dispatch; a move after a freeze waits for it
    double retryRatio = 0.10;
    uint64_t largestBody = 8'000'000; // bytes
    double tolerance = 0.20; // of load imbalance: a lower value balances better, with more moves
};

enum class DesiredState : uint8_t { Live, Leaving };

struct ServerResource {
    std::string name;
    std::string service;
    std::string address; // IP number
    uint16_t port = 0;
    std::string dataCentre;
    unsigned slots = 4; // maximum number of concurrent requests
    unsigned connections = 120; // maximum over all hosts
    bool checksGrants = false; // rejects dispatches with an expired grant or an old fencing token
    Millis coldStart { 0 }; // time over which its load rises to its full share
    DesiredState desiredState = DesiredState::Live;
};

// Placement rule for some keys. Pin: only on the named servers; Prefer: on them if they are up; Avoid: on other servers
// if possible.
enum class PlacementRule : uint8_t { Prefer, Avoid, Pin };

struct PlacementResource {
    std::string name;
    std::string service;
    PlacementRule rule = PlacementRule::Prefer;
    std::vector<std::string> keys; // empty: all keys of the service
    std::vector<std::string> servers; // the rule names these servers
    std::vector<std::string> dataCentres; // and all servers in these
};

// All resources as of one store revision.
struct Resources {
    int64_t revision = 0;
    std::map<std::string, ServiceResource, std::less<>> services;
    std::map<std::string, ServerResource, std::less<>> servers;
    std::map<std::string, PlacementResource, std::less<>> placements;
    std::set<std::string, std::less<>> evacuations; // data centres whose servers must get no requests

    const ServiceResource* serviceForPath(std::string_view path) const; // by the longest matching prefix
    bool acceptsWork(const ServerResource&) const; // it is neither leaving nor evacuated
    std::vector<const ServerResource*> serversOf(std::string_view service) const;
};

// The first matching rule of the service, or its default rule.
RouteRule ruleFor(const ServiceResource&, std::string_view method, std::string_view path);

}
