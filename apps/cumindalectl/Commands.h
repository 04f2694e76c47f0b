// The commands of cumindalectl. Each calls the administration API of a host and prints the response.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cumindale {

// Exit statuses, documented in docs/OPERATIONS.md.
enum ExitStatus : int {
    ExitOk = 0,
    ExitRefused = 1, // the API rejected the request: invalid, unauthorized or not found
    ExitUsage = 2,
    ExitConflict = 3, // the resource is at another revision than expected
    ExitUnavailable = 4, // no response, or the store is unavailable: retry
    ExitNotInForce = 5, // written, but not in force on every host before the timeout
};

struct CommandOptions {
    std::string address = "127.0.0.1"; // of a host's administration API
    uint16_t port = 7103;
    std::string token;
    bool table = false; // prints a table instead of JSON
    bool wait = false;
    std::string file; // resources to apply; "-" reads standard input
    std::optional<int64_t> expectedRevision;
    std::string operationId; // empty: generates an id
    std::string service;
};

int runCommand(const CommandOptions&, const std::vector<std::string>& arguments);

}
