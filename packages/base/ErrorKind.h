// All errors that the router itself returns for a request, and the table that maps each error kind to its response.
//
// Every response that does not come from a backend server goes through errorInfo(). To add an error, add a kind here
// and a row in ErrorKind.cpp; no other code chooses a status or the value of `Cumindale-Ran`.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace cumindale {

// Whether the request was executed by a backend server, as far as the router knows.
enum class Ran : uint8_t {
    No, // no byte reached a server, or the server reported that it refused the request
    Yes, // a server responded
    Unknown, // the request was sent and no response arrived
};

enum class ErrorKind : uint8_t {
    None,
    BadRequest, // the request can't be parsed
    HeadersTooLarge,
    BodyTooLarge,
    RequestTimeout, // the caller was too slow in sending its request
    MissingKey,
    KeyTooLong,
    UnknownService,
    TooManyConnections,
    MemoryBudget, // request bodies being received use up the memory reserved for them
    NotFresh, // this host can't confirm that its routing table is current
    NoOwner, // the key has no owner at present
    Moving, // ownership of the key is being transferred to another server
    WarmingUp, // the server has just started and accepts only a low rate of requests
    ServerResting, // the server has asked this host to pause requests for a while
    ServerAtLimit, // all eligible servers have reached the request rate limits that they announced
    OwnerChanged, // while the request was queued, its server left or its key moved
    Quarantined, // the request crashed the servers that executed it
    Overloaded, // the owner's queue is full, or the deadline can't be met
    ServerRefused, // the server reported that it did not execute the request
    ServerUnreachable, // connecting failed: nothing was sent
    DeadlineBeforeSend, // the deadline passed while the request was queued
    DeadlineAfterSend, // the request was sent and no response arrived before the deadline
    ConnectionLost, // the request was sent and the connection closed without a response
    BadAnswer, // the server's response can't be parsed, or belongs to another request
    ServerFailed, // the server responded with an error of its own
    ShuttingDown,
    Internal,
};

constexpr size_t errorKindCount = static_cast<size_t>(ErrorKind::Internal) + 1;

// Response to one kind of error.
struct ErrorInfo {
    ErrorKind kind = ErrorKind::None;
    std::string_view name; // as in `Cumindale-Error` and in the metrics
    unsigned status = 500; // HTTP status
    Ran ran = Ran::No;
    bool retryAfter = false; // whether the response says when to retry
    bool retryable = false; // whether a retry may succeed; retrying a non-idempotent request also requires Ran::No
    bool restsOnRules = false; // final for a caller, but a newer document of the operators may say otherwise
};

const ErrorInfo& errorInfo(ErrorKind);
std::optional<ErrorKind> errorNamed(std::string_view); // by ErrorInfo::name
std::string_view toString(Ran);

}
