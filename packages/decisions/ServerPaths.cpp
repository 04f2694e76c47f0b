#include "decisions/ServerPaths.h"

#include <algorithm>
#include <utility>

namespace cumindale {

ServerPaths::Path* ServerPaths::pathTo(std::string_view server)
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second;
}

const ServerPaths::Path* ServerPaths::pathTo(std::string_view server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second;
}

void ServerPaths::connectFailed(std::string_view server) { m_servers[std::string(server)].answered = false; }

void ServerPaths::connected(std::string_view server)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end())
        m_servers.erase(found);
}

void ServerPaths::answered(std::string_view server)
{
    if (Path* path = pathTo(server))
        path->answered = true;
}

bool ServerPaths::startTrial(std::string_view server, Instant now)
{
    Path* path = pathTo(server);
    if (!path || path->trials >= m_options.trialsAtOnce || now < path->nextTrial)
        return false;
    ++path->trials;
    return true;
}

void ServerPaths::trialEnded(std::string_view server)
{
    Path* path = pathTo(server);
    if (path && path->trials)
        --path->trials;
}

void ServerPaths::answeredElsewhere(std::string_view server)
{
    Path* path = pathTo(server);
    if (!path)
        return;
    path->throughOthers = true;
    path->trialPause = Millis(0);
    path->nextTrial = {};
}

void ServerPaths::unreachableElsewhere(std::string_view server, Instant now)
{
    Path* path = pathTo(server);
    if (!path)
        return;
    path->throughOthers = false;
    if (now < path->nextTrial)
        return; // of requests that were forwarded together, one counts
    path->trialPause = std::clamp(2 * path->trialPause, m_options.minTrialPause, m_options.maxTrialPause);
    path->nextTrial = now + path->trialPause;
}

void ServerPaths::retain(const std::function<bool(std::string_view server)>& isKnown)
{
    std::erase_if(m_servers, [&](const auto& server) { return !isKnown(server.first); });
}

bool ServerPaths::reachedThroughOthers(std::string_view server) const
{
    const Path* path = pathTo(server);
    return path && path->throughOthers;
}

bool ServerPaths::answersOverOpenConnections(std::string_view server) const
{
    const Path* path = pathTo(server);
    return path && path->answered;
}

std::vector<std::string> ServerPaths::allReachedThroughOthers() const
{
    std::vector<std::string> servers;
    for (const auto& [server, path] : m_servers) {
        if (path.throughOthers)
            servers.push_back(server);
    }
    return servers;
}

}
