#include "decisions/Resources.h"

namespace cumindale {

const ServiceResource* Resources::serviceForPath(std::string_view path) const
{
    const ServiceResource* best = nullptr;
    for (const auto& [name, service] : services) {
        if (path.starts_with(service.pathPrefix) && (!best || service.pathPrefix.size() > best->pathPrefix.size()))
            best = &service;
    }
    return best;
}

bool Resources::acceptsWork(const ServerResource& server) const
{
    return server.desiredState == DesiredState::Live && !evacuations.count(server.dataCentre);
}

std::vector<const ServerResource*> Resources::serversOf(std::string_view service) const
{
    std::vector<const ServerResource*> found;
    for (const auto& [name, server] : servers) {
        if (server.service == service)
            found.push_back(&server);
    }
    return found;
}

RouteRule ruleFor(const ServiceResource& service, std::string_view method, std::string_view path)
{
    const std::string_view rest = path.substr(service.pathPrefix.size());
    for (const auto& rule : service.routes) {
        if ((rule.method.empty() || rule.method == method) && rest.starts_with(rule.pathPrefix))
            return rule;
    }
    RouteRule rule;
    rule.idempotent = method == "GET" || method == "HEAD";
    rule.priority = rule.idempotent ? PriorityClass::Interactive : PriorityClass::Submission;
    rule.deadline = service.longestWork;
    return rule;
}

}
