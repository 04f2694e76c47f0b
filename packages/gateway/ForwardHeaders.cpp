#include "gateway/ForwardHeaders.h"

#include "routing/RequestHeaders.h"

#include <charconv>

namespace cumindale {

namespace {

    unsigned numberIn(std::string_view text)
    {
        unsigned number = 0;
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

void setForwardHeaders(CallerRequest& request, const ForwardedRequest& forwarded)
{
    request.set(forwardedByHeader, forwarded.host);
    request.set(forwardedCallerHeader, forwarded.caller);
    request.set(forwardedServiceHeader, forwarded.service);
    request.set(forwardedSendsHeader, std::to_string(forwarded.sends));
}

ForwardedRequest takeForwardHeaders(CallerRequest& request)
{
    ForwardedRequest forwarded;
    forwarded.host = taken(request, forwardedByHeader);
    forwarded.caller = taken(request, forwardedCallerHeader);
    forwarded.service = taken(request, forwardedServiceHeader);
    forwarded.sends = numberIn(taken(request, forwardedSendsHeader));
    return forwarded;
}

// The error's name, a space, and the number of sends.
void setForwardResult(CallerResponse& response, const ForwardResult& result)
{
    response.set(forwardResultHeader, std::string(errorInfo(result.error).name) + " " + std::to_string(result.sends));
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
    return ForwardResult { *error, numberIn(std::string_view(text).substr(space + 1)) };
}

}
