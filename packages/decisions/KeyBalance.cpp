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

void KeyLoad::index()
{
    m_sums.assign(keySpaceSize + 1, 0);
    if (m_load.empty())
        return;
    for (uint32_t key = 0; key < keySpaceSize; ++key)
        m_sums[key + 1] = m_sums[key] + m_load[key];
}

double KeyLoad::of(uint32_t first, uint32_t last) const
{
    return m_sums.empty() ? 0 : m_sums[last + 1] - m_sums[first];
}

namespace {

    struct ServerState {
        const ServerCapacity* server = nullptr;
        double weight = 0; // load and share of the space, in units of the mean slot
        double load = 0; // ms a second
        uint32_t keys = 0;

        double perSlot() const { return weight / server->slots; }
    };

    // The weight of a range: what it asks of a server, scaled so that all keys together weigh as many units as
    // there are slots.
    class Weigher {
    public:
        Weigher(const KeyLoad& load, double slots, double shareOfSpace)
            : m_load(load)
            , m_perMillis(load.total() > 0 ? (1 - shareOfSpace) * slots / load.total() : 0)
            , m_perKey((load.total() > 0 ? shareOfSpace : 1) * slots / keySpaceSize)
        {
        }

        double of(uint32_t first, uint32_t last) const
        {
            return m_load.of(first, last) * m_perMillis + (last - first + 1) * m_perKey;
        }

    private:
        const KeyLoad& m_load;
        double m_perMillis;
        double m_perKey;
    };

    struct Cut {
        uint32_t first = 0;
        uint32_t last = 0;
        double weight = 0;
    };

    // The piece of a range, from its end or from beside a heavy key, that weighs closest to `wanted` without being
    // more than `most`.
    Cut cutFrom(const KeyRange& range, const Weigher& weigher, double wanted, double most)
    {
        // Longest prefix of [first, last] that weighs no more than `wanted`, found by bisection.
        const auto reach = [&](uint32_t first) {
            uint32_t low = first;
            uint32_t high = range.last;
            if (weigher.of(first, first) > most)
                return Cut { first, first, 0 }; // a heavy key: not movable
            while (low < high) {
                const uint32_t middle = low + (high - low + 1) / 2;
                if (weigher.of(first, middle) <= wanted)
                    low = middle;
                else
                    high = middle - 1;
            }
            return Cut { first, low, weigher.of(first, low) };
        };
        Cut best;
        uint32_t first = range.first;
        constexpr int mostPieces = 64; // enough for the hot keys of one server; bounds the work
        for (int pieces = 0; pieces < mostPieces && first <= range.last; ++pieces) {
            const Cut cut = reach(first);
            if (cut.weight > best.weight && cut.weight <= most)
                best = cut;
            if (cut.last >= range.last)
                break;
            first = cut.last + 1;
        }
        return best;
    }

}

namespace {

    // Leaves only what stays: the piece becomes a range that moves.
    void cutOut(std::vector<KeyRange>& ranges, size_t index, const Cut& cut, const std::string& to)
    {
        const KeyRange whole = ranges[index];
        KeyRange piece = whole;
        piece.first = cut.first;
        piece.last = cut.last;
        piece.next = to;
        ranges[index] = piece;
        KeyRange rest = whole;
        rest.last = cut.first - 1;
        if (whole.first < cut.first)
            ranges.push_back(rest);
        rest.first = cut.last + 1;
        rest.last = whole.last;
        if (cut.last < whole.last)
            ranges.push_back(rest);
    }

}

namespace {

    // Load pattern: a third of a service's requests ask for one key for some seconds, more than one server can do,
    // while the others have room. All that helps is the server at which it lies: speeds differ by three.
    class HeavyKeys {
    public:
        HeavyKeys(const KeyLoad& load, const BalanceOptions& options)
            : m_load(load)
            , m_options(options)
        {
        }

        // The heaviest key of the range that asks for more than `slots`; nothing: none does.
        std::optional<uint32_t> in(const KeyRange& range, double slots) const
        {
            std::optional<uint32_t> heaviest;
            if (!asksForMore(m_load.of(range.first, range.last), slots))
                return heaviest;
            for (uint32_t key = range.first; key <= range.last; ++key) {
                const double load = m_load.key(key);
                if (asksForMore(load, slots) && (!heaviest || load > m_load.key(*heaviest)))
                    heaviest = key;
            }
            return heaviest;
        }

    private:
        bool asksForMore(double load, double slots) const
        {
            const double busy = load / m_options.requestMillis * m_options.workMillis / 1000;
            return busy > m_options.tooHeavy * slots;
        }

        const KeyLoad& m_load;
        const BalanceOptions& m_options;
    };

    // Moves such keys, the ranges' holders being `states`; notes where each heavy key then lies.
    void moveHeavyKeys(std::vector<KeyRange>& ranges, std::map<std::string_view, ServerState>& states,
        const HeavyKeys& heavy, const Weigher& weigher, const BalanceOptions& options, std::vector<BalanceMove>& moves)
    {
        std::set<std::string_view> taken; // servers that have one: two on one server would be worse
        std::vector<std::pair<size_t, uint32_t>> found; // range, key
        for (size_t i = 0; i < ranges.size(); ++i) {
            const auto holder = states.find(ranges[i].moving() ? ranges[i].next : ranges[i].holder);
            if (holder == states.end())
                continue;
            const auto key = heavy.in(ranges[i], holder->second.server->slots);
            if (!key)
                continue;
            taken.insert(holder->first);
            if (!ranges[i].moving())
                found.emplace_back(i, *key);
        }
        for (const auto& [index, key] : found) {
            ServerState& from = states.at(ranges[index].holder);
            ServerState* best = nullptr;
            for (auto& [id, state] : states) {
                const bool free = !taken.count(id);
                const bool faster = state.server->slots >= options.muchFaster * from.server->slots;
                if (free && faster && (!best || state.server->slots > best->server->slots))
                    best = &state;
            }
            if (!best)
                continue;
            const double weight = weigher.of(key, key);
            cutOut(ranges, index, { key, key, weight }, best->server->id);
            moves.push_back({ key, key, best->server->id, false, true });
            taken.insert(best->server->id);
            from.weight -= weight;
            --from.keys;
            best->weight += weight;
            ++best->keys;
        }
    }

}

std::vector<BalanceMove> planBalance(std::span<const KeyRange> present, const KeyLoad& load,
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
    const Weigher weigher(load, slots, options.shareOfSpace);
    size_t moving = 0;
    for (const auto& range : ranges) {
        moving += range.moving();
        const auto found = states.find(range.moving() ? range.next : range.holder);
        if (found == states.end())
            continue;
        found->second.weight += weigher.of(range.first, range.last);
        found->second.load += load.of(range.first, range.last);
        found->second.keys += range.size();
    }

    moveHeavyKeys(ranges, states, HeavyKeys(load, options), weigher, options, moves);

    std::vector<ServerState*> order;
    order.reserve(states.size());
    for (auto& [id, state] : states)
        order.push_back(&state);
    while (moving + moves.size() < options.movesAtOnce) {
        std::sort(order.begin(), order.end(),
            [](const ServerState* a, const ServerState* b) { return a->perSlot() < b->perSlot(); });
        ServerState& low = *order.front();
        const bool newcomer = !low.keys;
        // The weights are scaled so that the mean is 1 for a slot.
        const double room = (newcomer ? options.newcomerShare : 1 - low.perSlot()) * low.server->slots;
        if (room <= 0)
            break;
        bool found = false;
        for (auto it = order.rbegin(); it != order.rend() && !found; ++it) {
            ServerState& high = **it;
            const double busy = high.load / 1000 / high.server->slots;
            const double requests = std::max(1.0, high.load * options.rememberedSeconds / options.requestMillis);
            const double limit = options.tolerance + options.deviations / std::sqrt(requests);
            const bool overloaded = high.perSlot() > limit && busy > options.busyEnough;
            if (&high == &low || !(newcomer ? high.perSlot() > low.perSlot() : overloaded))
                break;
            const double surplus = newcomer ? room : (high.perSlot() - 1) * high.server->slots;
            const double wanted = std::min(surplus, room);
            Cut best;
            std::optional<size_t> from;
            for (size_t i = 0; i < ranges.size(); ++i) {
                const KeyRange& range = ranges[i];
                if (range.moving() || range.holder != high.server->id)
                    continue;
                const Cut cut = cutFrom(range, weigher, wanted, std::max(wanted, room));
                if (cut.weight > best.weight) {
                    best = cut;
                    from = i;
                }
            }
            constexpr double worthMoving = 0.1; // of what is wanted
            if (!from || best.weight < worthMoving * wanted)
                continue;
            cutOut(ranges, *from, best, low.server->id);
            moves.push_back({ best.first, best.last, low.server->id, newcomer });
            high.weight -= best.weight;
            high.keys -= best.last - best.first + 1;
            low.weight += best.weight;
            low.keys += best.last - best.first + 1;
            found = true;
        }
        if (!found)
            break;
    }
    return moves;
}

}
