#include "base/ErrorKind.h"

#include <array>

namespace cumindale {

namespace {

    // kind, name, status, ran, retry-after, retryable, rests on rules
    constexpr std::array<ErrorInfo, errorKindCount> errorInfos { {
        { ErrorKind::None, "none", 200, Ran::Yes, false, false, false },
        { ErrorKind::BadRequest, "bad-request", 400, Ran::No, false, false, false },
        { ErrorKind::HeadersTooLarge, "headers-too-large", 431, Ran::No, false, false, true },
        { ErrorKind::BodyTooLarge, "body-too-large", 413, Ran::No, false, false, true },
        { ErrorKind::RequestTimeout, "request-timeout", 408, Ran::No, false, false, false },
        { ErrorKind::MissingKey, "missing-key", 400, Ran::No, false, false, true },
        { ErrorKind::KeyTooLong, "key-too-long", 400, Ran::No, false, false, false },
        { ErrorKind::UnknownService, "unknown-service", 404, Ran::No, false, false, true },
        { ErrorKind::TooManyConnections, "too-many-connections", 503, Ran::No, true, false, false },
        { ErrorKind::MemoryBudget, "memory-budget", 503, Ran::No, true, false, false },
        { ErrorKind::NotFresh, "not-fresh", 503, Ran::No, true, true, false },
        { ErrorKind::NoOwner, "no-owner", 503, Ran::No, true, true, false },
        { ErrorKind::Moving, "moving", 503, Ran::No, true, true, false },
        { ErrorKind::WarmingUp, "warming-up", 503, Ran::No, true, true, false },
        { ErrorKind::ServerResting, "server-resting", 503, Ran::No, true, false, false },
        { ErrorKind::ServerAtLimit, "server-at-limit", 503, Ran::No, true, false, false },
        { ErrorKind::OwnerChanged, "owner-changed", 503, Ran::No, true, true, false },
        { ErrorKind::Quarantined, "quarantined", 503, Ran::No, false, false, false },
        { ErrorKind::Overloaded, "overloaded", 503, Ran::No, true, false, false },
        { ErrorKind::ServerRefused, "server-refused", 503, Ran::No, true, true, false },
        { ErrorKind::ServerUnreachable, "server-unreachable", 503, Ran::No, true, true, false },
        { ErrorKind::DeadlineBeforeSend, "deadline-before-send", 503, Ran::No, true, false, false },
        { ErrorKind::DeadlineAfterSend, "deadline-after-send", 504, Ran::Unknown, true, true, false },
        { ErrorKind::ConnectionLost, "connection-lost", 502, Ran::Unknown, true, true, false },
        { ErrorKind::BadAnswer, "bad-answer", 502, Ran::Unknown, true, false, false },
        { ErrorKind::ServerFailed, "server-failed", 502, Ran::Unknown, true, true, false },
        { ErrorKind::ShuttingDown, "shutting-down", 503, Ran::No, true, false, false },
        { ErrorKind::Internal, "internal", 500, Ran::Unknown, true, false, false },
    } };

    constexpr bool rowsAreInOrder()
    {
        for (size_t i = 0; i < errorInfos.size(); ++i) {
            if (static_cast<size_t>(errorInfos[i].kind) != i)
                return false;
        }
        return true;
    }
    static_assert(rowsAreInOrder(), "errorInfos must list the kinds in the order of ErrorKind");

}

const ErrorInfo& errorInfo(ErrorKind kind) { return errorInfos[static_cast<size_t>(kind)]; }

std::optional<ErrorKind> errorNamed(std::string_view name)
{
    for (const auto& info : errorInfos) {
        if (info.name == name)
            return info.kind;
    }
    return std::nullopt;
}

std::string_view toString(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Unknown:
        return "unknown";
    }
    return "unknown";
}

}
