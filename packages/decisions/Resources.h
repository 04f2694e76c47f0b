// What operators declare: services, backend servers, placement wishes and evacuations. Plain values; their JSON form
// and its checks are in the package `resources`.
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

// In the order in which a queue prefers them when they are of the same age.
enum class PriorityClass : uint8_t {
    Interactive, // somebody waits: lookups, menu reads
    Submission, // claims, orders
    Upload,
    Background, // archive reads; wait, but progress
};
constexpr size_t priorityClassCount = 4;

// First rule that fits a request's method and path decides.
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
    std::string pathPrefix; // requests whose path begins so belong to the service
    KeySource keySource = KeySource::Header;
    std::string keyHeader; // for Header
    unsigned keySegment = 0; // for PathSegment: counted from 0 after the prefix
    std::vector<RouteRule> routes; // none fits: GET and HEAD are idempotent lookups, all else submissions
    Millis longestWork { 1000 }; // the most that one dispatch may take; a move after a freeze waits for it
    double retryRatio = 0.10;
    uint64_t largestBody = 8'000'000; // bytes
    double tolerance = 0.20; // of uneven load: lower means more even and more moves
};

enum class DesiredState : uint8_t { Live, Leaving };

struct ServerResource {
    std::string name;
    std::string service;
    std::string address; // IP number
    uint16_t port = 0;
    std::string dataCentre;
    unsigned slots = 4; // requests that it works on at once
    unsigned connections = 120; // most connections, over all hosts
    bool checksGrants = false; // refuses dispatches whose grant lapsed or whose fence is old
    Millis coldStart { 0 }; // ramps up to its full share over this time
    DesiredState desiredState = DesiredState::Live;
};

// A wish for some keys. Pin: only there; Prefer: there if it is up; Avoid: elsewhere if possible.
enum class PlacementRule : uint8_t { Prefer, Avoid, Pin };

struct PlacementResource {
    std::string name;
    std::string service;
    PlacementRule rule = PlacementRule::Prefer;
    std::vector<std::string> keys; // empty: all keys of the service
    std::vector<std::string> servers; // any of these
    std::vector<std::string> dataCentres; // or any server in these
};

// All resources as of one store revision.
struct Resources {
    int64_t revision = 0;
    std::map<std::string, ServiceResource, std::less<>> services;
    std::map<std::string, ServerResource, std::less<>> servers;
    std::map<std::string, PlacementResource, std::less<>> placements;
    std::set<std::string, std::less<>> evacuations; // data centres whose servers are to get nothing

    const ServiceResource* serviceForPath(std::string_view path) const; // longest prefix wins
    bool acceptsWork(const ServerResource&) const; // it neither leaves nor is evacuated
    std::vector<const ServerResource*> serversOf(std::string_view service) const;
};

// How a request is to be treated.
RouteRule ruleFor(const ServiceResource&, std::string_view method, std::string_view path);

}
