#include "decisions/KeyBalance.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

namespace cumindale {

void KeyLoad::add(uint32_t key, double millis)
{
    if (m_load.empty())
        m_load.resize(keySpaceSize, 0);
    if (key < keySpaceSize)
        m_load[key] += millis;
}

void KeyLoad::decay(double factor)
{
    for (double& load : m_load)
        load *= factor;
}

void KeyLoad::buildPrefixSums()
{
    m_sums.assign(keySpaceSize + 1, 0);
    if (m_load.empty())
        return;
    for (uint32_t key = 0; key < keySpaceSize; ++key)
        m_sums[key + 1] = m_sums[key] + m_load[key];
}

KeyLoad KeyLoad::cappedAt(double maxLoad) const
{
    KeyLoad capped;
    capped.m_load = m_load;
    for (double& load : capped.m_load)
        load = std::min(load, maxLoad);
    capped.buildPrefixSums();
    return capped;
}

double KeyLoad::sumOver(uint32_t first, uint32_t last) const
{
    return m_sums.empty() ? 0 : m_sums[last + 1] - m_sums[first];
}

namespace {

    struct ServerState {
        const ServerCapacity* server = nullptr;
        double weight = 0; // load and number of keys, in units of the mean slot
        double load = 0; // ms a second
        uint32_t keys = 0;

        double weightPerSlot() const { return weight / server->slots; }
    };

    // Computes the weight of a range from its load and its number of keys, scaled so that the weight of all keys
    // together equals the total number of slots.
    class Weigher {
    public:
        Weigher(const KeyLoad& load, double slots, double keyCountWeight)
            : m_load(load)
            , m_perMillis(load.total() > 0 ? (1 - keyCountWeight) * slots / load.total() : 0)
            , m_perKey((load.total() > 0 ? keyCountWeight : 1) * slots / keySpaceSize)
        {
        }

        double weightOf(uint32_t first, uint32_t last) const
        {
            return m_load.sumOver(first, last) * m_perMillis + (last - first + 1) * m_perKey;
        }

    private:
        const KeyLoad& m_load;
        double m_perMillis;
        double m_perKey;
    };

    struct RangePiece {
        uint32_t first = 0;
        uint32_t last = 0;
        double weight = 0;
    };

    // Splits the range into consecutive pieces and returns the heaviest. A piece weighs at most `wanted`, or is a
    // single key of at most `maxWeight`; heavier keys are skipped.
    RangePiece choosePiece(const KeyRange& range, const Weigher& weigher, double wanted, double maxWeight)
    {
        // Longest piece from `first` on that weighs no more than `wanted`, found by bisection.
        const auto longestPrefix = [&](uint32_t first) {
            uint32_t low = first;
            uint32_t high = range.last;
            if (weigher.weightOf(first, first) > maxWeight)
                return RangePiece { first, first, 0 }; // a heavy key stays
            while (low < high) {
                const uint32_t middle = low + (high - low + 1) / 2;
                if (weigher.weightOf(first, middle) <= wanted)
                    low = middle;
                else
                    high = middle - 1;
            }
            return RangePiece { first, low, weigher.weightOf(first, low) };
        };
        RangePiece best;
        uint32_t first = range.first;
        constexpr int maxPieces = 64; // enough for the hot keys of one server; limits the computation
        for (int pieces = 0; pieces < maxPieces && first <= range.last; ++pieces) {
            const RangePiece candidate = longestPrefix(first);
            if (candidate.weight > best.weight && candidate.weight <= maxWeight)
                best = candidate;
            if (candidate.last >= range.last)
                break;
            first = candidate.last + 1;
        }
        return best;
    }

}

namespace {

    // Splits the piece off its range and marks it as moving to `to`.
    void splitOffPiece(std::vector<KeyRange>& ranges, size_t index, const RangePiece& split, const std::string& to)
    {
        const KeyRange whole = ranges[index];
        KeyRange piece = whole;
        piece.first = split.first;
        piece.last = split.last;
        piece.next = to;
        ranges[index] = piece;
        KeyRange rest = whole;
        rest.last = split.first - 1;
        if (whole.first < split.first)
            ranges.push_back(rest);
        rest.first = split.last + 1;
        rest.last = whole.last;
        if (split.last < whole.last)
            ranges.push_back(rest);
    }

}

namespace {

    // Finds keys that overload their server on their own. Load pattern: a third of a service's requests ask for one key
    // for some seconds, more than one server can do, while the other servers have room. Only a faster server helps, as
    // speeds differ by a factor of three.
    class HeavyKeys {
    public:
        HeavyKeys(const KeyLoad& load, const BalanceOptions& options)
            : m_load(load)
            , m_options(options)
        {
        }

        // Returns the heaviest key of the range that overloads a server with this many slots, if there is one.
        std::optional<uint32_t> heaviestIn(const KeyRange& range, double slots) const
        {
            std::optional<uint32_t> heaviest;
            if (!exceedsCapacity(m_load.sumOver(range.first, range.last), slots))
                return heaviest;
            for (uint32_t key = range.first; key <= range.last; ++key) {
                const double load = m_load.loadOf(key);
                if (exceedsCapacity(load, slots) && (!heaviest || load > m_load.loadOf(*heaviest)))
                    heaviest = key;
            }
            return heaviest;
        }

    private:
        bool exceedsCapacity(double load, double slots) const
        {
            const double busy = load / m_options.requestMillis * m_options.workMillis / 1000;
            return busy > m_options.heavyKeyUtilization * slots;
        }

        const KeyLoad& m_load;
        const BalanceOptions& m_options;
    };

    // Moves heavy keys to faster servers, and updates the ranges and the states of the servers accordingly.
    void moveHeavyKeys(std::vector<KeyRange>& ranges, std::map<std::string_view, ServerState>& states,
        const HeavyKeys& heavy, const Weigher& weigher, const BalanceOptions& options, std::vector<BalanceMove>& moves)
    {
        std::set<std::string_view> withHeavyKey; // servers with a heavy key; a second one would make it worse
        std::vector<std::pair<size_t, uint32_t>> found; // index of the range, key
        for (size_t i = 0; i < ranges.size(); ++i) {
            const auto holder = states.find(ranges[i].moving() ? ranges[i].next : ranges[i].holder);
            if (holder == states.end())
                continue;
            const auto key = heavy.heaviestIn(ranges[i], holder->second.server->slots);
            if (!key)
                continue;
            withHeavyKey.insert(holder->first);
            if (!ranges[i].moving())
                found.emplace_back(i, *key);
        }
        for (const auto& [index, key] : found) {
            ServerState& from = states.at(ranges[index].holder);
            ServerState* best = nullptr;
            for (auto& [id, state] : states) {
                const bool free = !withHeavyKey.count(id);
                const bool faster = state.server->slots >= options.minSpeedup * from.server->slots;
                if (free && faster && (!best || state.server->slots > best->server->slots))
                    best = &state;
            }
            if (!best)
                continue;
            const double weight = weigher.weightOf(key, key);
            splitOffPiece(ranges, index, { key, key, weight }, best->server->id);
            moves.push_back({ key, key, best->server->id, false, true });
            withHeavyKey.insert(best->server->id);
            from.weight -= weight;
            --from.keys;
            best->weight += weight;
            ++best->keys;
        }
    }

}

std::vector<BalanceMove> planBalance(std::span<const KeyRange> present, const KeyLoad& demand,
    std::span<const ServerCapacity> servers, const BalanceOptions& options)
{
    std::vector<KeyRange> ranges(present.begin(), present.end());
    std::vector<BalanceMove> moves;
    std::map<std::string_view, ServerState> states;
    double slots = 0;
    for (const auto& server : servers) {
        states[server.id].server = &server;
        slots += server.slots;
    }
    if (states.size() < 2)
        return moves;
    const double meanSlots = slots / static_cast<double>(states.size());
    // Callers repeat what is refused, so a key that no server can keep up with may make up a third of all requests. If
    // its whole load counted, the mean would rise with it, and overloaded servers would look average.
    const KeyLoad load = demand.cappedAt(meanSlots * 1000 / options.workMillis * options.requestMillis);
    const Weigher weigher(load, slots, options.keyCountWeight);
    size_t moving = 0;
    for (const auto& range : ranges) {
        moving += range.moving();
        const auto found = states.find(range.moving() ? range.next : range.holder);
        if (found == states.end())
            continue;
        found->second.weight += weigher.weightOf(range.first, range.last);
        found->second.load += load.sumOver(range.first, range.last);
        found->second.keys += range.size();
    }

    moveHeavyKeys(ranges, states, HeavyKeys(demand, options), weigher, options, moves);

    std::vector<ServerState*> order;
    order.reserve(states.size());
    for (auto& [id, state] : states)
        order.push_back(&state);
    while (moving + moves.size() < options.maxConcurrentMoves) {
        std::sort(order.begin(), order.end(),
            [](const ServerState* a, const ServerState* b) { return a->weightPerSlot() < b->weightPerSlot(); });
        ServerState& target = *order.front();
        const bool toEmptyServer = !target.keys;
        // The weights are scaled so that the mean weight per slot is 1.
        const double room
            = (toEmptyServer ? options.newServerShare : 1 - target.weightPerSlot()) * target.server->slots;
        if (room <= 0)
            break;
        bool found = false;
        for (auto it = order.rbegin(); it != order.rend() && !found; ++it) {
            ServerState& source = **it;
            const double busy = source.load / 1000 / source.server->slots;
            const double requests = std::max(1.0, source.load * options.loadDecaySeconds / options.requestMillis);
            const double limit = options.tolerance + options.standardDeviations / std::sqrt(requests);
            const bool overloaded = source.weightPerSlot() > limit && busy > options.minUtilization;
            if (&source == &target || !(toEmptyServer ? source.weightPerSlot() > target.weightPerSlot() : overloaded))
                break;
            const double surplus = toEmptyServer ? room : (source.weightPerSlot() - 1) * source.server->slots;
            const double wanted = std::min(surplus, room);
            RangePiece best;
            std::optional<size_t> from;
            for (size_t i = 0; i < ranges.size(); ++i) {
                const KeyRange& range = ranges[i];
                if (range.moving() || range.holder != source.server->id)
                    continue;
                const RangePiece candidate = choosePiece(range, weigher, wanted, std::max(wanted, room));
                if (candidate.weight > best.weight) {
                    best = candidate;
                    from = i;
                }
            }
            constexpr double minMoveFraction = 0.1; // of the wanted weight
            if (!from || best.weight < minMoveFraction * wanted)
                continue;
            splitOffPiece(ranges, *from, best, target.server->id);
            moves.push_back({ best.first, best.last, target.server->id, toEmptyServer });
            source.weight -= best.weight;
            source.keys -= best.last - best.first + 1;
            target.weight += best.weight;
            target.keys += best.last - best.first + 1;
            found = true;
        }
        if (!found)
            break;
    }
    return moves;
}

}
