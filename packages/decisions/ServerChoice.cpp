#include "decisions/ServerChoice.h"

#include <algorithm>

namespace cumindale {

std::optional<size_t> chooseServer(std::span<const ServerCandidate> candidates, uint64_t random, double farFactor)
{
    if (candidates.empty())
        return std::nullopt;
    std::optional<size_t> best;
    double bestTime = 0;
    bool bestRests = false;
    const size_t start = random % candidates.size();
    for (size_t i = 0; i < candidates.size(); ++i) {
        const size_t index = (start + i) % candidates.size();
        const ServerCandidate& candidate = candidates[index];
        if (!candidate.usable)
            continue;
        const double ahead = static_cast<double>(candidate.busy + candidate.waiting) / std::max(1U, candidate.limit);
        double time = std::max(1.0, candidate.workMillis) * (1 + ahead);
        if (!candidate.sameCentre)
            time *= farFactor;
        const bool better
            = !best || (bestRests && !candidate.resting) || (bestRests == candidate.resting && time < bestTime);
        if (!better)
            continue;
        best = index;
        bestTime = time;
        bestRests = candidate.resting;
    }
    return best;
}

}
