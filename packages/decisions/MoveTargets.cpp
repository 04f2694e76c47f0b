#include "decisions/MoveTargets.h"

#include <algorithm>

namespace cumindale {

MoveTargets::Rank MoveTargets::rankOf(std::string_view server, const Candidate& candidate)
{
    return { candidate.avoided, static_cast<double>(candidate.keys) / candidate.slots, server };
}

void MoveTargets::add(std::string_view server, unsigned slots, uint32_t keys, bool avoided)
{
    const Candidate candidate { std::max(1U, slots), keys, avoided };
    if (m_candidates.emplace(server, candidate).second)
        m_ranks.insert(rankOf(server, candidate));
}

std::string_view MoveTargets::best(std::string_view except) const
{
    auto rank = m_ranks.begin();
    if (rank != m_ranks.end() && std::get<std::string_view>(*rank) == except)
        ++rank;
    return rank == m_ranks.end() ? std::string_view() : std::get<std::string_view>(*rank);
}

void MoveTargets::addKeys(std::string_view server, int64_t keys)
{
    const auto found = m_candidates.find(server);
    if (found == m_candidates.end())
        return;
    m_ranks.erase(rankOf(found->first, found->second));
    found->second.keys += keys;
    m_ranks.insert(rankOf(found->first, found->second));
}

void MoveTargets::moveKeys(std::string_view from, std::string_view to, uint32_t keys)
{
    addKeys(from, -int64_t { keys });
    addKeys(to, keys);
}

}
