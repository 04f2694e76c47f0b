#include "decisions/Placement.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <unordered_map>

namespace cumindale {

// Sections: wishes, capacity, splits, first table, moves, imbalance.

namespace {

    constexpr double leastCapacity = 0.05; // slots of a server that has just started cold

    // --- Wishes

    bool names(const std::vector<std::string>& list, std::string_view name)
    {
        return std::find(list.begin(), list.end(), name) != list.end();
    }

    bool wishNames(const Wish& wish, const Candidate& server)
    {
        return names(wish.servers, server.name) || names(wish.dataCentres, server.dataCentre);
    }

    // Wishes are few and slices many: they are resolved once into the slices that they touch.
    class WishMap {
    public:
        WishMap(const SliceTable& table, const std::vector<Wish>& wishes)
        {
            for (const auto& wish : wishes) {
                if (wish.wholeService)
                    m_general.push_back(&wish);
                for (uint64_t point : wish.points) {
                    const size_t slice = table.indexOf(point);
                    if (table.slices[slice].begin == point && table.lastPointOf(slice) == point)
                        m_ofSlice[slice].push_back(&wish);
                }
            }
        }

        bool legal(size_t slice, const Candidate& server) const
        {
            return server.usable && all(slice, [&](const Wish& wish) {
                return wish.rule != PlacementRule::Pin || wishNames(wish, server);
            });
        }

        // Whether a soft wish speaks against the server; such a server is taken only if there is no other.
        bool unwelcome(size_t slice, const Candidate& server) const
        {
            return !all(slice, [&](const Wish& wish) {
                if (wish.rule == PlacementRule::Avoid)
                    return !wishNames(wish, server);
                return wish.rule != PlacementRule::Prefer || wishNames(wish, server);
            });
        }

        bool touches(size_t slice) const { return !m_general.empty() || m_ofSlice.count(slice); }

    private:
        template <typename Check> bool all(size_t slice, Check&& check) const
        {
            for (const Wish* wish : m_general) {
                if (!check(*wish))
                    return false;
            }
            const auto found = m_ofSlice.find(slice);
            if (found == m_ofSlice.end())
                return true;
            return std::all_of(
                found->second.begin(), found->second.end(), [&](const Wish* wish) { return check(*wish); });
        }

        std::vector<const Wish*> m_general;
        std::unordered_map<size_t, std::vector<const Wish*>> m_ofSlice;
    };

    // --- Capacity

    double capacityOf(const Candidate& server)
    {
        return server.usable ? std::max(leastCapacity, server.slots * server.warmth) : 0;
    }

    // The future owner of each slice, as an index into the candidates.
    std::vector<ServerIndex> futureOwners(const SliceTable& table, const PlacementInput& input)
    {
        std::unordered_map<std::string_view, ServerIndex> byName;
        for (size_t i = 0; i < input.servers.size(); ++i)
            byName.emplace(input.servers[i].name, static_cast<ServerIndex>(i));
        std::vector<ServerIndex> fromTable(table.servers.size(), noServer);
        for (size_t i = 0; i < table.servers.size(); ++i) {
            const auto found = byName.find(table.servers[i]);
            if (found != byName.end())
                fromTable[i] = found->second;
        }
        std::vector<ServerIndex> owners(table.slices.size(), noServer);
        for (size_t i = 0; i < owners.size(); ++i) {
            const Slice& slice = table.slices[i];
            const ServerIndex future = slice.state == SliceState::Stopping ? slice.successor : slice.owner;
            if (future != noServer)
                owners[i] = fromTable[future];
        }
        return owners;
    }

    std::vector<double> weights(const SliceTable& table, const PlacementInput& input)
    {
        const double total = std::accumulate(input.sliceLoad.begin(), input.sliceLoad.end(), 0.0);
        const size_t count = table.slices.size();
        std::vector<double> result(count, 0);
        for (size_t i = 0; i < count; ++i) {
            // Idle slices keep a little weight, by their share of the space, so that they are dealt out evenly too.
            const double share = static_cast<double>(table.lastPointOf(i) - table.slices[i].begin) / 0x1p64;
            const double load = i < input.sliceLoad.size() ? input.sliceLoad[i] : 0;
            result[i] = total > 0 ? load / total + 0.01 * share : share;
        }
        return result;
    }

    // Servers ordered by how full they are.
    class Fill {
    public:
        Fill(const std::vector<Candidate>& servers, const std::vector<ServerIndex>& owners,
            const std::vector<double>& weight)
            : m_load(servers.size(), 0)
        {
            for (const auto& server : servers)
                m_capacity.push_back(capacityOf(server));
            for (size_t i = 0; i < owners.size(); ++i) {
                if (owners[i] != noServer)
                    m_load[owners[i]] += weight[i];
            }
            for (size_t i = 0; i < servers.size(); ++i) {
                if (m_capacity[i] > 0)
                    m_order.insert({ of(static_cast<ServerIndex>(i)), static_cast<ServerIndex>(i) });
            }
        }

        double of(ServerIndex server) const { return m_load[server] / m_capacity[server]; }
        double with(ServerIndex server, double extra) const { return (m_load[server] + extra) / m_capacity[server]; }
        double capacity(ServerIndex server) const { return m_capacity[server]; }
        double totalCapacity() const { return std::accumulate(m_capacity.begin(), m_capacity.end(), 0.0); }
        const std::set<std::pair<double, ServerIndex>>& order() const { return m_order; } // emptiest first

        void add(ServerIndex server, double weight)
        {
            if (!(m_capacity[server] > 0))
                return;
            m_order.erase({ of(server), server });
            m_load[server] += weight;
            m_order.insert({ of(server), server });
        }

    private:
        std::vector<double> m_load;
        std::vector<double> m_capacity;
        std::set<std::pair<double, ServerIndex>> m_order;
    };

    // The emptiest legal server; one that a soft wish speaks against only if there is no other.
    ServerIndex bestFor(size_t slice, const PlacementInput& input, const WishMap& wishes, const Fill& fill)
    {
        ServerIndex fallback = noServer;
        for (const auto& [level, server] : fill.order()) {
            if (!wishes.legal(slice, input.servers[server]))
                continue;
            if (!wishes.unwelcome(slice, input.servers[server]))
                return server;
            if (fallback == noServer)
                fallback = server;
        }
        return fallback;
    }

}

// --- Splits

namespace {

    // Gives the key at `point` a slice of its own; `load` of its slice's load goes with it.
    size_t isolate(SliceTable& table, std::vector<double>& loads, uint64_t point, double load)
    {
        const size_t before = table.slices.size();
        const size_t holder = table.indexOf(point);
        if (table.slices[holder].state == SliceState::Stopping)
            return 0; // its gate names it by its begin: it is cut after the move
        const bool known = !loads.empty();
        const double rest = known ? std::max(0.0, loads[holder] - load) : 0;
        const size_t own = table.splitAt(point);
        if (known && own != holder) {
            loads[holder] = rest / 2;
            loads.insert(loads.begin() + static_cast<ptrdiff_t>(own), load + rest / 2);
        }
        if (point != UINT64_MAX && table.lastPointOf(own) != point) {
            table.splitAt(point + 1);
            if (known) {
                const double after = std::max(0.0, loads[own] - load);
                loads[own] -= after;
                loads.insert(loads.begin() + static_cast<ptrdiff_t>(own) + 1, after);
            }
        }
        return table.slices.size() - before;
    }

}

size_t splitForPlan(SliceTable& table, PlacementInput& input, const PlacementOptions& options)
{
    size_t added = 0;
    for (const auto& wish : input.wishes) {
        for (uint64_t point : wish.points)
            added += isolate(table, input.sliceLoad, point, 0);
    }
    for (const auto& key : input.hotKeys) {
        if (table.slices.size() + 2 > options.mostSlices)
            break;
        added += isolate(table, input.sliceLoad, key.point, key.load);
    }
    return added;
}

size_t mergeForPlan(SliceTable& table, PlacementInput& input, const PlacementOptions& options)
{
    const size_t base = std::max<size_t>(1, input.servers.size() * options.slicesPerServer);
    if (table.slices.size() <= base || input.sliceLoad.size() != table.slices.size())
        return 0;
    std::set<uint64_t> keptCuts; // of keys that have a slice of their own for a reason
    const auto keep = [&](uint64_t point) {
        keptCuts.insert(point);
        keptCuts.insert(point + 1);
    };
    for (const auto& key : input.hotKeys)
        keep(key.point);
    for (const auto& wish : input.wishes)
        std::for_each(wish.points.begin(), wish.points.end(), keep);
    const double total = std::accumulate(input.sliceLoad.begin(), input.sliceLoad.end(), 0.0);
    const double lightest = total / static_cast<double>(base);

    std::vector<Slice> slices { table.slices.front() };
    std::vector<double> loads { input.sliceLoad.front() };
    size_t removed = 0;
    for (size_t i = 1; i < table.slices.size(); ++i) {
        const Slice& slice = table.slices[i];
        Slice& last = slices.back();
        const bool alike
            = slice.owner == last.owner && slice.state == SliceState::Serving && last.state == SliceState::Serving;
        const bool light = loads.back() + input.sliceLoad[i] <= lightest;
        if (alike && light && !keptCuts.count(slice.begin) && table.slices.size() - removed > base) {
            last.fence = std::max(last.fence, slice.fence);
            loads.back() += input.sliceLoad[i];
            ++removed;
            continue;
        }
        slices.push_back(slice);
        loads.push_back(input.sliceLoad[i]);
    }
    table.slices = std::move(slices);
    input.sliceLoad = std::move(loads);
    return removed;
}

// --- First table

SliceTable firstTable(std::string_view service, const PlacementInput& input, const PlacementOptions& options)
{
    SliceTable table;
    table.service = service;
    const size_t count = std::clamp<size_t>(input.servers.size() * options.slicesPerServer, 1, options.mostSlices);
    const uint64_t width = UINT64_MAX / count;
    for (size_t i = 0; i < count; ++i) {
        Slice slice;
        slice.begin = i * width;
        table.slices.push_back(slice);
    }
    return table;
}

// --- Moves

namespace {

    // The heaviest slice of a full server whose move helps: it leaves the target emptier than the server was.
    struct Relief {
        size_t slice = SIZE_MAX;
        ServerIndex to = noServer;
    };

    class Planner {
    public:
        Planner(const SliceTable& table, const PlacementInput& input, const PlacementOptions& options)
            : m_table(table)
            , m_input(input)
            , m_options(options)
            , m_wishes(table, input.wishes)
            , m_weight(weights(table, input))
            , m_owners(futureOwners(table, input))
            , m_fill(input.servers, m_owners, m_weight)
        {
        }

        std::vector<Move> plan()
        {
            placeHomeless();
            if (!m_fill.order().empty())
                makeEven();
            return std::move(m_moves);
        }

    private:
        bool settled(size_t slice) const
        {
            return m_owners[slice] != noServer && m_wishes.legal(slice, m_input.servers[m_owners[slice]]);
        }

        bool welcome(size_t slice) const
        {
            return !m_wishes.touches(slice) || !m_wishes.unwelcome(slice, m_input.servers[m_owners[slice]]);
        }

        void moveTo(size_t slice, ServerIndex to)
        {
            addTo(m_owners[slice], -m_weight[slice]);
            addTo(to, m_weight[slice]);
            m_owners[slice] = to;
            m_moves.push_back({ slice, to });
        }

        void addTo(ServerIndex server, double weight)
        {
            if (server == noServer)
                return;
            const bool open = m_fill.capacity(server) > 0 && m_open.erase({ m_fill.of(server), server });
            m_fill.add(server, weight);
            if (open)
                m_open.insert({ m_fill.of(server), server });
        }

        // Heaviest first, so that the light ones level what the heavy ones left uneven.
        void placeHomeless()
        {
            std::vector<size_t> homeless;
            for (size_t i = 0; i < m_owners.size(); ++i) {
                const bool atHome = settled(i) && (welcome(i) || m_table.slices[i].state != SliceState::Serving);
                if (!atHome)
                    homeless.push_back(i);
            }
            std::stable_sort(
                homeless.begin(), homeless.end(), [&](size_t a, size_t b) { return m_weight[a] > m_weight[b]; });
            for (size_t slice : homeless) {
                const ServerIndex to = bestFor(slice, m_input, m_wishes, m_fill);
                // A soft wish is worth a move only if it comes true; otherwise two unwelcome servers would swap.
                if (settled(slice) && (to == noServer || m_wishes.unwelcome(slice, m_input.servers[to])))
                    continue;
                if (to != m_owners[slice] || to == noServer)
                    moveTo(slice, to);
            }
        }

        void makeEven()
        {
            std::vector<std::vector<size_t>> slicesOf(m_input.servers.size());
            for (size_t i = 0; i < m_owners.size(); ++i) {
                if (m_owners[i] != noServer && m_table.slices[i].state == SliceState::Serving)
                    slicesOf[m_owners[i]].push_back(i);
            }
            const double total = std::accumulate(m_weight.begin(), m_weight.end(), 0.0);
            const double mean = total / m_fill.totalCapacity();
            double budget = m_options.churnBudget * total;
            m_open = m_fill.order();
            while (budget > 0 && !m_open.empty()) {
                const auto [level, from] = *m_open.rbegin();
                if (level <= mean * (1 + m_options.tolerance))
                    return;
                const Relief relief = reliefFor(from, mean, budget, slicesOf[from]);
                if (relief.slice == SIZE_MAX) {
                    m_open.erase({ level, from });
                    continue;
                }
                auto& left = slicesOf[from];
                left.erase(std::find(left.begin(), left.end(), relief.slice));
                budget -= m_weight[relief.slice];
                moveTo(relief.slice, relief.to);
            }
        }

        Relief reliefFor(ServerIndex from, double mean, double budget, const std::vector<size_t>& slices) const
        {
            Relief best;
            double bestWeight = 0;
            const double excess = (m_fill.of(from) - mean) * m_fill.capacity(from);
            const ServerIndex emptiest = m_fill.order().begin()->second;
            for (size_t slice : slices) {
                const double weight = m_weight[slice];
                // A slice a little heavier than the excess still helps if the target stays below this server.
                if (weight <= bestWeight || weight > budget || weight > 2 * excess)
                    continue;
                ServerIndex to = emptiest;
                if (m_wishes.touches(slice)) {
                    to = bestFor(slice, m_input, m_wishes, m_fill);
                    if (to == noServer || m_wishes.unwelcome(slice, m_input.servers[to]))
                        continue;
                }
                if (to == from || m_fill.with(to, weight) >= m_fill.of(from))
                    continue;
                best = { slice, to };
                bestWeight = weight;
            }
            return best;
        }

        const SliceTable& m_table;
        const PlacementInput& m_input;
        const PlacementOptions& m_options;
        WishMap m_wishes;
        std::vector<double> m_weight;
        std::vector<ServerIndex> m_owners;
        Fill m_fill;
        std::set<std::pair<double, ServerIndex>> m_open; // servers that may still give something away, emptiest first
        std::vector<Move> m_moves;
    };

}

std::vector<Move> planMoves(const SliceTable& table, const PlacementInput& input, const PlacementOptions& options)
{
    return Planner(table, input, options).plan();
}

// --- Imbalance

double imbalanceOf(const SliceTable& table, const PlacementInput& input)
{
    const auto owners = futureOwners(table, input);
    const auto weight = weights(table, input);
    const Fill fill(input.servers, owners, weight);
    const double total = std::accumulate(weight.begin(), weight.end(), 0.0);
    if (fill.order().empty() || !(total > 0))
        return 1;
    return fill.order().rbegin()->first / (total / fill.totalCapacity());
}

}
