#include "decisions/Assigner.h"

#include <algorithm>

namespace cumindale {

// Sections: one service's table, the roster.

// --- One service's table

ServiceAssigner::ServiceAssigner(AssignerOptions options)
    : m_options(options)
{
}

std::optional<SliceTable> ServiceAssigner::next(
    const SliceTable& current, ServiceView view, const Roster& roster, const HostReports& reports, Instant now)
{
    SliceTable draft = current;
    if (!current.version)
        draft = initialTable(view.service->name, view.placement, m_options.placement);
    draft.version = current.version + 1;

    observeGates(current, roster, reports, now);
    bool changed = updateWorkLimit(draft, current, view, roster, reports, now);
    changed = splitForPlan(draft, view.placement, m_options.placement) > 0 || changed;
    const bool rebalance
        = view.allHostsAnswer && (!m_lastRebalance || now >= *m_lastRebalance + m_options.rebalanceInterval);
    if (rebalance) {
        m_lastRebalance = now;
        if (mergeForPlan(draft, view.placement, m_options.placement))
            changed = true;
    }
    if (applyMoves(draft, view, rebalance))
        changed = true;
    // Runs after applyMoves(), which replaces successors that were lost while their slice was stopping.
    if (finishStops(draft, now))
        changed = true;
    if (!changed)
        return std::nullopt;
    return draft;
}

void ServiceAssigner::observeGates(
    const SliceTable& current, const Roster& roster, const HostReports& reports, Instant now)
{
    std::map<uint64_t, StopGate> kept;
    for (const auto& slice : current.slices) {
        if (slice.state != SliceState::Stopping)
            continue;
        const auto found = m_gates.find(slice.begin);
        const bool same = found != m_gates.end() && found->second.stopVersion() == slice.stoppedInVersion;
        auto gate = same
            ? found->second
            : StopGate(current.service, slice.begin, slice.stoppedInVersion, current.inFlightWorkLimit, m_options.gate);
        gate.observe(roster, reports, now);
        kept.emplace(slice.begin, std::move(gate));
    }
    m_gates = std::move(kept);
}

// A raised limit takes effect with the version that contains it. A lowered limit takes two versions, like a move: hosts
// apply the lower limit to dispatches from the next version on, while all waits keep using the higher limit until the
// last dispatch made under it must have ended. Without the second step a slice could get its next owner while a frozen
// server still held a request with the later deadline.
bool ServiceAssigner::updateWorkLimit(SliceTable& draft, const SliceTable& current, const ServiceView& view,
    const Roster& roster, const HostReports& reports, Instant now)
{
    const Millis configured = view.service->longestWork;
    if (!current.version) {
        draft.workLimit = configured;
        draft.inFlightWorkLimit = configured;
        return false; // a first table is committed once it has owners
    }
    if (configured != draft.workLimit) {
        draft.workLimit = configured;
        draft.inFlightWorkLimit = std::max(draft.inFlightWorkLimit, configured);
        draft.loweredInVersion = draft.inFlightWorkLimit > configured ? draft.version : 0;
        m_loweredLimitGate.reset();
        return true;
    }
    if (!draft.loweredInVersion)
        return false;
    if (!m_loweredLimitGate || m_loweredLimitGate->stopVersion() != draft.loweredInVersion)
        m_loweredLimitGate.emplace(draft.service, 0, draft.loweredInVersion, draft.inFlightWorkLimit, m_options.gate);
    m_loweredLimitGate->observe(roster, reports, now);
    if (!m_loweredLimitGate->waitIsOver(now))
        return false;
    draft.inFlightWorkLimit = draft.workLimit;
    draft.loweredInVersion = 0;
    m_loweredLimitGate.reset();
    return true;
}

bool ServiceAssigner::finishStops(SliceTable& draft, Instant now) const
{
    bool changed = false;
    for (auto& slice : draft.slices) {
        const auto gate = m_gates.find(slice.begin);
        const bool sameStop = gate != m_gates.end() && gate->second.stopVersion() == slice.stoppedInVersion;
        if (slice.state != SliceState::Stopping || !sameStop || !gate->second.mayAssignOwner(now))
            continue;
        slice.owner = slice.successor;
        slice.state = slice.successor == noServer ? SliceState::Unowned : SliceState::Serving;
        slice.successor = noServer;
        slice.stoppedInVersion = 0;
        if (slice.owner != noServer)
            slice.fence = draft.nextFence++;
        changed = true;
    }
    return changed;
}

bool ServiceAssigner::applyMoves(SliceTable& draft, const ServiceView& view, bool rebalance)
{
    PlacementOptions options = m_options.placement;
    options.tolerance = view.service->tolerance;
    if (!rebalance)
        options.churnBudget = 0;
    bool changed = false;
    for (const Move& move : planMoves(draft, view.placement, options)) {
        Slice& slice = draft.slices[move.slice];
        const ServerIndex to
            = move.to == noServer ? noServer : draft.internServer(view.placement.servers[move.to].name);
        switch (slice.state) {
        case SliceState::Unowned:
            if (to == noServer)
                continue;
            slice.owner = to;
            slice.fence = draft.nextFence++;
            slice.state = SliceState::Serving;
            break;
        case SliceState::Serving:
            slice.successor = to;
            slice.stoppedInVersion = draft.version;
            slice.state = SliceState::Stopping;
            break;
        case SliceState::Stopping:
            if (slice.successor == to)
                continue;
            slice.successor = to;
            break;
        }
        changed = true;
    }
    return changed;
}

// --- The roster

RosterAssigner::RosterAssigner(GateOptions options)
    : m_options(options)
{
}

bool RosterAssigner::changeIsAcknowledged(
    const Roster& roster, const RosterView& view, const HostReports& reports, Instant now)
{
    if (m_version != roster.version) {
        m_version = roster.version;
        m_majorityReachedAt.reset();
    }
    size_t acknowledged = 0;
    for (const auto& member : roster.members) {
        const auto report = reports.find(member.name);
        if (member.state == MemberState::Member && report != reports.end() && report->second.counts
            && report->second.rosterVersion >= roster.version)
            ++acknowledged;
    }
    if (acknowledged < roster.majority()) {
        m_majorityReachedAt.reset();
        return false;
    }
    if (!m_majorityReachedAt)
        m_majorityReachedAt = now;
    // A departed member may route by an older roster until its lease expires, and its last dispatches run even longer.
    const bool departing = std::any_of(roster.members.begin(), roster.members.end(),
        [](const Member& member) { return member.state == MemberState::Departed; });
    const Millis wait = departing ? m_options.lease + m_options.driftMargin + view.longestWork : Millis(0);
    return now >= *m_majorityReachedAt + wait;
}

std::optional<Roster> RosterAssigner::next(
    const Roster& current, const RosterView& view, const HostReports& reports, Instant now)
{
    if (current.version && !changeIsAcknowledged(current, view, reports, now))
        return std::nullopt;
    Roster draft = current;
    ++draft.version;
    const auto departed = std::find_if(draft.members.begin(), draft.members.end(),
        [](const Member& member) { return member.state == MemberState::Departed; });
    if (departed != draft.members.end()) {
        draft.members.erase(departed);
        return draft;
    }
    for (const auto& live : view.live) {
        const auto known = std::find_if(
            draft.members.begin(), draft.members.end(), [&](const Member& member) { return member.name == live.name; });
        if (known != draft.members.end()) {
            Member updated = live;
            updated.state = known->state;
            if (*known == updated)
                continue;
            *known = updated; // the host returned with another address
            return draft;
        }
        draft.members.push_back(live);
        std::sort(draft.members.begin(), draft.members.end(),
            [](const Member& a, const Member& b) { return a.name < b.name; });
        return draft;
    }
    for (auto& member : draft.members) {
        if (!view.hostsToRemove.count(member.name))
            continue;
        if (draft.activeMemberCount() == 1)
            return std::nullopt; // an empty roster could never reach a majority again
        member.state = MemberState::Departed;
        return draft;
    }
    return std::nullopt;
}

}
