#include "routing/RequestHeaders.h"

#include <array>

namespace cumindale {

namespace {

    constexpr std::array<std::string_view, 3> connectionHeaders { "Connection", "Keep-Alive", "Proxy-Connection" };
    constexpr std::array<std::string_view, 18> requestOnlyHeaders { "TE", "Trailer", "Upgrade", "Expect", ranHeader,
        errorHeader, requestIdHeader, fenceHeader, rangeHeader, deadlineHeader, timeoutHeader, hostHeader,
        forwardedByHeader, forwardedCallerHeader, forwardedServiceHeader, forwardedRulesHeader, forwardedSendsHeader,
        reachQueryHeader };

    std::string_view segmentOf(std::string_view path, unsigned index)
    {
        while (index--) {
            const auto slash = path.find('/');
            if (slash == std::string_view::npos)
                return {};
            path.remove_prefix(slash + 1);
        }
        return path.substr(0, path.find('/'));
    }

}

std::string_view hostOf(std::string_view header) { return header.substr(0, header.find(':')); }

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::string_view keyOf(const ServiceResource& service, const CallerRequest& request)
{
    if (service.keySource == KeySource::Header)
        return request[service.keyHeader];
    const std::string_view target = request.target();
    return segmentOf(pathOf(target).substr(service.pathPrefix.size()), service.keySegment);
}

void stripForServer(CallerRequest& request)
{
    for (const auto name : connectionHeaders)
        request.erase(name);
    for (const auto name : requestOnlyHeaders)
        request.erase(name);
}

void stripForCaller(CallerResponse& response)
{
    for (const auto name : connectionHeaders)
        response.erase(name);
}

}
