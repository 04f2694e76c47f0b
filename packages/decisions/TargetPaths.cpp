#include "decisions/TargetPaths.h"

#include <algorithm>

namespace cumindale {

void TargetPaths::lacks(const TargetPath& path, Instant now)
{
    Lack& lack = m_lacks[path.server][path.host];
    if (now < lack.nextQuestion)
        return; // of requests that were forwarded together, one counts
    lack.pause = std::clamp(2 * lack.pause, m_options.minPause, m_options.maxPause);
    lack.nextQuestion = now + lack.pause;
}

void TargetPaths::forget(const TargetPath& path)
{
    const auto server = m_lacks.find(path.server);
    if (server == m_lacks.end())
        return;
    server->second.erase(path.host);
    if (server->second.empty())
        m_lacks.erase(server);
}

std::vector<std::string> TargetPaths::hostsWithout(std::string_view server) const
{
    std::vector<std::string> hosts;
    const auto found = m_lacks.find(server);
    if (found == m_lacks.end())
        return hosts;
    for (const auto& [host, lack] : found->second)
        hosts.push_back(host);
    return hosts;
}

std::optional<TargetPath> TargetPaths::nextToAsk(Instant now) const
{
    std::optional<TargetPath> next;
    Instant dueSince = now;
    for (const auto& [server, hosts] : m_lacks) {
        for (const auto& [host, lack] : hosts) {
            if (lack.nextQuestion > dueSince || (next && lack.nextQuestion == dueSince))
                continue;
            dueSince = lack.nextQuestion;
            next = TargetPath { server, host };
        }
    }
    return next;
}

size_t TargetPaths::size() const
{
    size_t paths = 0;
    for (const auto& [server, hosts] : m_lacks)
        paths += hosts.size();
    return paths;
}

}
