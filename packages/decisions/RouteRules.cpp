#include "decisions/RouteRules.h"

#include <algorithm>

namespace cumindale {

namespace {

    std::string routeKey(std::string_view host, std::string_view prefix)
    {
        std::string key(host);
        key += prefix;
        return key;
    }

}

bool HostRoute::hasService(std::string_view serviceName) const
{
    return std::any_of(services.begin(), services.end(),
        [&](const WeightedService& service) { return service.service == serviceName; });
}

void RouteRules::add(HostRoute route)
{
    std::string key = routeKey(route.host, route.pathPrefix);
    m_ranks.insert(route.priority);
    m_routes.insert_or_assign(std::move(key), std::move(route));
}

void RouteRules::add(RoutedService service)
{
    std::string name = service.name;
    m_services.insert_or_assign(std::move(name), std::move(service));
}

const HostRoute* RouteRules::match(std::string_view host, std::string_view path) const
{
    // Every prefix ends with a slash, so there is one lookup for each slash of the path, regardless of the number of
    // routes.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;) {
        const auto found = m_routes.find(routeKey(host, path.substr(0, slash + 1)));
        if (found != m_routes.end())
            return &found->second;
        if (!slash)
            break;
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const RoutedService* RouteRules::service(std::string_view name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

const std::string& TrafficSplitter::next(const HostRoute& route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    auto& credits = m_credits[route.name];
    if (credits.size() != route.services.size())
        credits.assign(route.services.size(), 0);
    int64_t total = 0;
    size_t chosen = 0;
    for (size_t i = 0; i < credits.size(); ++i) {
        credits[i] += route.services[i].weight;
        total += route.services[i].weight;
        if (credits[i] > credits[chosen])
            chosen = i;
    }
    credits[chosen] -= total;
    return route.services[chosen].service;
}

}
