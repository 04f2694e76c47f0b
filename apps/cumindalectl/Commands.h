// The commands of cumindalectl. Each asks the administration API of one host and prints the answer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cumindale {

// Exit statuses, documented in docs/OPERATIONS.md.
enum ExitStatus : int {
    ExitOk = 0,
    ExitRefused = 1, // the API refused: invalid, unauthorized, not found
    ExitUsage = 2,
    ExitConflict = 3, // the resource is at another revision than expected
    ExitUnavailable = 4, // no answer, or the store is away; try again
    ExitNotInForce = 5, // written, but not in force everywhere within the wait
};

struct CommandOptions {
    std::string address = "127.0.0.1"; // operators' endpoint of a host
    uint16_t port = 7103;
    std::string token;
    bool table = false; // output form: table or json
    bool wait = false;
    std::string file; // resources to apply; "-" is standard input
    std::optional<int64_t> expectedRevision;
    std::string operationId; // empty: a new one
    std::string service;
};

int runCommand(const CommandOptions&, const std::vector<std::string>& words);

}
