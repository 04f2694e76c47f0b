#include "gateway/ForwardHeaders.h"

#include "routing/RequestHeaders.h"

#include <algorithm>
#include <charconv>

namespace cumindale {

namespace {

    template <typename Number> Number numberIn(std::string_view text)
    {
        Number number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    std::string taken(CallerRequest& request, std::string_view name)
    {
        std::string value(request[name]);
        request.erase(name);
        return value;
    }

}

CallerLimits forwardLimits(const CallerLimits& callers)
{
    constexpr size_t memoryDivisor = 4; // of the memory for requests of this host's own callers
    CallerLimits limits = callers;
    limits.bodyMemory /= memoryDivisor;
    limits.responseMemory /= memoryDivisor;
    limits.pipelinedRequests = 1;
    constexpr size_t forwardHeaderBytes = 1'024;
    limits.headerBytes += forwardHeaderBytes;
    // Each forwarding host has as many connections as requests at a time.
    constexpr size_t maxConnections = 1'000;
    limits.connections = std::min(limits.connections / memoryDivisor, maxConnections);
    return limits;
}

void setForwardHeaders(CallerRequest& request, const ForwardedRequest& forwarded)
{
    request.set(forwardedByHeader, forwarded.host);
    request.set(forwardedCallerHeader, forwarded.caller);
    request.set(forwardedServiceHeader, forwarded.service);
    request.set(forwardedRulesHeader, std::to_string(forwarded.rulesRevision));
    request.set(forwardedSendsHeader, std::to_string(forwarded.sends));
}

ForwardedRequest takeForwardHeaders(CallerRequest& request)
{
    ForwardedRequest forwarded;
    forwarded.host = taken(request, forwardedByHeader);
    forwarded.caller = taken(request, forwardedCallerHeader);
    forwarded.service = taken(request, forwardedServiceHeader);
    forwarded.rulesRevision = numberIn<int64_t>(taken(request, forwardedRulesHeader));
    forwarded.sends = numberIn<unsigned>(taken(request, forwardedSendsHeader));
    return forwarded;
}

// The error's name, the number of sends and the server's id, if there is one, with a space between them.
void setForwardResult(CallerResponse& response, const ForwardResult& result)
{
    std::string text = std::string(errorInfo(result.error).name) + " " + std::to_string(result.sends);
    if (!result.server.empty())
        text += " " + result.server;
    response.set(forwardResultHeader, text);
}

std::optional<ForwardResult> takeForwardResult(CallerResponse& response)
{
    const std::string text(response[forwardResultHeader]);
    response.erase(forwardResultHeader);
    const auto space = text.find(' ');
    if (space == std::string::npos)
        return std::nullopt;
    const auto error = errorNamed(std::string_view(text).substr(0, space));
    if (!error)
        return std::nullopt;
    const std::string_view rest = std::string_view(text).substr(space + 1);
    const auto serverAt = rest.find(' ');
    const std::string_view server = serverAt == std::string_view::npos ? "" : rest.substr(serverAt + 1);
    return ForwardResult { *error, numberIn<unsigned>(rest), std::string(server) };
}

}
