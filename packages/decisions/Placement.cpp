#include "decisions/Placement.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <unordered_map>

namespace cumindale {

// Sections: constraints, capacity, splits, first table, moves, imbalance.

namespace {

    constexpr double minCapacity = 0.05; // slots of a server at the start of its warm-up

    // --- Constraints

    bool contains(const std::vector<std::string>& list, std::string_view name)
    {
        return std::find(list.begin(), list.end(), name) != list.end();
    }

    bool constraintNames(const PlacementConstraint& constraint, const PlacementServer& server)
    {
        return contains(constraint.servers, server.name) || contains(constraint.dataCentres, server.dataCentre);
    }

    // Constraints by slice. Constraints are few and slices many, so they are resolved to slices once.
    class ConstraintMap {
    public:
        ConstraintMap(const SliceTable& table, const std::vector<PlacementConstraint>& constraints)
        {
            for (const auto& constraint : constraints) {
                if (constraint.wholeService)
                    m_serviceConstraints.push_back(&constraint);
                for (uint64_t point : constraint.points) {
                    const size_t slice = table.indexOf(point);
                    if (table.slices[slice].begin == point && table.lastPointOf(slice) == point)
                        m_sliceConstraints[slice].push_back(&constraint);
                }
            }
        }

        bool isAllowed(size_t slice, const PlacementServer& server) const
        {
            return server.usable && all(slice, [&](const PlacementConstraint& constraint) {
                return constraint.rule != PlacementRule::Pin || constraintNames(constraint, server);
            });
        }

        // Whether the server violates a soft constraint; such a server is chosen only if there is no other.
        bool violatesPreference(size_t slice, const PlacementServer& server) const
        {
            return !all(slice, [&](const PlacementConstraint& constraint) {
                if (constraint.rule == PlacementRule::Avoid)
                    return !constraintNames(constraint, server);
                return constraint.rule != PlacementRule::Prefer || constraintNames(constraint, server);
            });
        }

        bool hasConstraints(size_t slice) const
        {
            return !m_serviceConstraints.empty() || m_sliceConstraints.count(slice);
        }

    private:
        template <typename Check> bool all(size_t slice, Check&& check) const
        {
            for (const PlacementConstraint* constraint : m_serviceConstraints) {
                if (!check(*constraint))
                    return false;
            }
            const auto found = m_sliceConstraints.find(slice);
            if (found == m_sliceConstraints.end())
                return true;
            return std::all_of(found->second.begin(), found->second.end(),
                [&](const PlacementConstraint* constraint) { return check(*constraint); });
        }

        std::vector<const PlacementConstraint*> m_serviceConstraints;
        std::unordered_map<size_t, std::vector<const PlacementConstraint*>> m_sliceConstraints;
    };

    // --- Capacity

    double capacityOf(const PlacementServer& server)
    {
        return server.usable ? std::max(minCapacity, server.slots * server.warmFraction) : 0;
    }

    // The owner of each slice after all moves in progress, as an index into PlacementInput::servers.
    std::vector<ServerIndex> plannedOwners(const SliceTable& table, const PlacementInput& input)
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
            // Idle slices get a small weight by their share of the key space, so that they are spread evenly too.
            const double share = static_cast<double>(table.lastPointOf(i) - table.slices[i].begin) / 0x1p64;
            const double load = i < input.sliceLoad.size() ? input.sliceLoad[i] : 0;
            result[i] = total > 0 ? load / total + 0.01 * share : share;
        }
        return result;
    }

    // Servers ordered by load relative to capacity.
    class ServerUtilization {
    public:
        ServerUtilization(const std::vector<PlacementServer>& servers, const std::vector<ServerIndex>& owners,
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
        const std::set<std::pair<double, ServerIndex>>& order() const { return m_order; } // least loaded first

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

    // The least loaded server that is allowed; one that violates a soft constraint only if there is no other.
    ServerIndex bestServerFor(size_t slice, const PlacementInput& input, const ConstraintMap& constraints,
        const ServerUtilization& utilization)
    {
        ServerIndex fallback = noServer;
        for (const auto& [level, server] : utilization.order()) {
            if (!constraints.isAllowed(slice, input.servers[server]))
                continue;
            if (!constraints.violatesPreference(slice, input.servers[server]))
                return server;
            if (fallback == noServer)
                fallback = server;
        }
        return fallback;
    }

}

// --- Splits

namespace {

    // Gives the key at `point` a slice of its own and moves `load` of the old slice's load there. Returns the number of
    // slices added.
    size_t isolateKey(SliceTable& table, std::vector<double>& loads, uint64_t point, double load)
    {
        const size_t before = table.slices.size();
        const size_t holder = table.indexOf(point);
        if (table.slices[holder].state == SliceState::Stopping)
            return 0; // the stop gate identifies the slice by its begin; it is split after the move
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
    for (const auto& constraint : input.constraints) {
        for (uint64_t point : constraint.points)
            added += isolateKey(table, input.sliceLoad, point, 0);
    }
    for (const auto& key : input.hotKeys) {
        if (table.slices.size() + 2 > options.maxSlices)
            break;
        added += isolateKey(table, input.sliceLoad, key.point, key.load);
    }
    return added;
}

size_t mergeForPlan(SliceTable& table, PlacementInput& input, const PlacementOptions& options)
{
    const size_t base = std::max<size_t>(1, input.servers.size() * options.initialSlicesPerServer);
    if (table.slices.size() <= base || input.sliceLoad.size() != table.slices.size())
        return 0;
    std::set<uint64_t> keptBoundaries; // boundaries of the slices of hot keys and of keys with constraints
    const auto keep = [&](uint64_t point) {
        keptBoundaries.insert(point);
        keptBoundaries.insert(point + 1);
    };
    for (const auto& key : input.hotKeys)
        keep(key.point);
    for (const auto& constraint : input.constraints)
        std::for_each(constraint.points.begin(), constraint.points.end(), keep);
    const double total = std::accumulate(input.sliceLoad.begin(), input.sliceLoad.end(), 0.0);
    const double lightest = total / static_cast<double>(base);

    std::vector<Slice> slices { table.slices.front() };
    std::vector<double> loads { input.sliceLoad.front() };
    size_t removed = 0;
    for (size_t i = 1; i < table.slices.size(); ++i) {
        const Slice& slice = table.slices[i];
        Slice& last = slices.back();
        const bool mergeable
            = slice.owner == last.owner && slice.state == SliceState::Serving && last.state == SliceState::Serving;
        const bool light = loads.back() + input.sliceLoad[i] <= lightest;
        if (mergeable && light && !keptBoundaries.count(slice.begin) && table.slices.size() - removed > base) {
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

SliceTable initialTable(std::string_view service, const PlacementInput& input, const PlacementOptions& options)
{
    SliceTable table;
    table.service = service;
    const size_t count
        = std::clamp<size_t>(input.servers.size() * options.initialSlicesPerServer, 1, options.maxSlices);
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

    // The heaviest slice of an overloaded server whose move helps: after it, the target is less loaded than the server
    // was.
    struct ReliefMove {
        size_t slice = SIZE_MAX;
        ServerIndex to = noServer;
    };

    class Planner {
    public:
        Planner(const SliceTable& table, const PlacementInput& input, const PlacementOptions& options)
            : m_table(table)
            , m_input(input)
            , m_options(options)
            , m_constraints(table, input.constraints)
            , m_weight(weights(table, input))
            , m_owners(plannedOwners(table, input))
            , m_utilization(input.servers, m_owners, m_weight)
        {
        }

        std::vector<Move> plan()
        {
            placeUnassigned();
            if (!m_utilization.order().empty())
                evenOutLoad();
            return std::move(m_moves);
        }

    private:
        bool hasAllowedOwner(size_t slice) const
        {
            return m_owners[slice] != noServer && m_constraints.isAllowed(slice, m_input.servers[m_owners[slice]]);
        }

        bool satisfiesPreferences(size_t slice) const
        {
            return !m_constraints.hasConstraints(slice)
                || !m_constraints.violatesPreference(slice, m_input.servers[m_owners[slice]]);
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
            const bool isDonor
                = m_utilization.capacity(server) > 0 && m_donors.erase({ m_utilization.of(server), server });
            m_utilization.add(server, weight);
            if (isDonor)
                m_donors.insert({ m_utilization.of(server), server });
        }

        // Assigns the heaviest slices first, so that light ones even out the remaining differences.
        void placeUnassigned()
        {
            std::vector<size_t> unplaced;
            for (size_t i = 0; i < m_owners.size(); ++i) {
                const bool wellPlaced
                    = hasAllowedOwner(i) && (satisfiesPreferences(i) || m_table.slices[i].state != SliceState::Serving);
                if (!wellPlaced)
                    unplaced.push_back(i);
            }
            std::stable_sort(
                unplaced.begin(), unplaced.end(), [&](size_t a, size_t b) { return m_weight[a] > m_weight[b]; });
            for (size_t slice : unplaced) {
                const ServerIndex to = bestServerFor(slice, m_input, m_constraints, m_utilization);
                // A soft constraint justifies a move only if the move satisfies it. Otherwise slices would move back
                // and forth between two servers that violate it.
                if (hasAllowedOwner(slice)
                    && (to == noServer || m_constraints.violatesPreference(slice, m_input.servers[to])))
                    continue;
                if (to != m_owners[slice] || to == noServer)
                    moveTo(slice, to);
            }
        }

        void evenOutLoad()
        {
            std::vector<std::vector<size_t>> slicesOf(m_input.servers.size());
            for (size_t i = 0; i < m_owners.size(); ++i) {
                if (m_owners[i] != noServer && m_table.slices[i].state == SliceState::Serving)
                    slicesOf[m_owners[i]].push_back(i);
            }
            const double total = std::accumulate(m_weight.begin(), m_weight.end(), 0.0);
            const double mean = total / m_utilization.totalCapacity();
            double budget = m_options.churnBudget * total;
            m_donors = m_utilization.order();
            while (budget > 0 && !m_donors.empty()) {
                const auto [level, from] = *m_donors.rbegin();
                if (level <= mean * (1 + m_options.tolerance))
                    return;
                const ReliefMove relief = bestMoveFrom(from, mean, budget, slicesOf[from]);
                if (relief.slice == SIZE_MAX) {
                    m_donors.erase({ level, from });
                    continue;
                }
                auto& left = slicesOf[from];
                left.erase(std::find(left.begin(), left.end(), relief.slice));
                budget -= m_weight[relief.slice];
                moveTo(relief.slice, relief.to);
            }
        }

        ReliefMove bestMoveFrom(ServerIndex from, double mean, double budget, const std::vector<size_t>& slices) const
        {
            ReliefMove best;
            double bestWeight = 0;
            const double excess = (m_utilization.of(from) - mean) * m_utilization.capacity(from);
            const ServerIndex leastLoaded = m_utilization.order().begin()->second;
            for (size_t slice : slices) {
                const double weight = m_weight[slice];
                // A slice somewhat heavier than the excess still helps if the target stays less loaded than this
                // server.
                if (weight <= bestWeight || weight > budget || weight > 2 * excess)
                    continue;
                ServerIndex to = leastLoaded;
                if (m_constraints.hasConstraints(slice)) {
                    to = bestServerFor(slice, m_input, m_constraints, m_utilization);
                    if (to == noServer || m_constraints.violatesPreference(slice, m_input.servers[to]))
                        continue;
                }
                if (to == from || m_utilization.with(to, weight) >= m_utilization.of(from))
                    continue;
                best = { slice, to };
                bestWeight = weight;
            }
            return best;
        }

        const SliceTable& m_table;
        const PlacementInput& m_input;
        const PlacementOptions& m_options;
        ConstraintMap m_constraints;
        std::vector<double> m_weight;
        std::vector<ServerIndex> m_owners;
        ServerUtilization m_utilization;
        // Servers that may still give slices away, least loaded first.
        std::set<std::pair<double, ServerIndex>> m_donors;
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
    const auto owners = plannedOwners(table, input);
    const auto weight = weights(table, input);
    const ServerUtilization utilization(input.servers, owners, weight);
    const double total = std::accumulate(weight.begin(), weight.end(), 0.0);
    if (utilization.order().empty() || !(total > 0))
        return 1;
    return utilization.order().rbegin()->first / (total / utilization.totalCapacity());
}

}
