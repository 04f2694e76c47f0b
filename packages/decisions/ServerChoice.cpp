#include "decisions/ServerChoice.h"

#include <algorithm>

namespace cumindale {

namespace {

    constexpr double newConnectionFactor = 1.2; // of the expected time

}

std::optional<size_t> chooseServer(std::span<const ServerCandidate> candidates, uint64_t random, double remoteFactor)
{
    if (candidates.empty())
        return std::nullopt;
    std::optional<size_t> best;
    double bestTime = 0;
    bool bestResting = false;
    const size_t start = random % candidates.size();
    for (size_t i = 0; i < candidates.size(); ++i) {
        const size_t index = (start + i) % candidates.size();
        const ServerCandidate& candidate = candidates[index];
        if (!candidate.usable)
            continue;
        const double ahead = static_cast<double>(candidate.busy + candidate.waiting) / std::max(1U, candidate.limit);
        double time = std::max(1.0, candidate.workMillis) * (1 + ahead);
        if (!candidate.sameDataCentre)
            time *= remoteFactor;
        if (!candidate.connected)
            time *= newConnectionFactor;
        const bool better
            = !best || (bestResting && !candidate.resting) || (bestResting == candidate.resting && time < bestTime);
        if (!better)
            continue;
        best = index;
        bestTime = time;
        bestResting = candidate.resting;
    }
    return best;
}

}
