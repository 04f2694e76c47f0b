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
    const bool even = view.calm && (!m_lastEven || now >= *m_lastEven + m_options.evenEvery);
    if (even) {
        m_lastEven = now;
        if (mergeForPlan(draft, view.placement, m_options.placement))
            changed = true;
    }
    if (applyMoves(draft, view, even))
        changed = true;
    // After the moves, which replace successors that were lost meanwhile.
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
        const bool same = found != m_gates.end() && found->second.stopVersion() == slice.stoppedIn;
        auto gate = same ? found->second
                         : StopGate(current.service, slice.begin, slice.stoppedIn, current.formerWork, m_options.gate);
        gate.observe(roster, reports, now);
        kept.emplace(slice.begin, std::move(gate));
    }
    m_gates = std::move(kept);
}

// Raising takes effect with the version that says so. Lowering has two steps, like a move: hosts dispatch by the lower
// limit from the next version on, waits count the higher one until its last dispatch must be over. Without the second
// step a slice would get its next owner while a frozen server still held work with the former, later deadline.
bool ServiceAssigner::updateWorkLimit(SliceTable& draft, const SliceTable& current, const ServiceView& view,
    const Roster& roster, const HostReports& reports, Instant now)
{
    const Millis wish = view.service->longestWork;
    if (!current.version) {
        draft.workLimit = wish;
        draft.formerWork = wish;
        return false; // a first table is committed for its owners
    }
    if (wish != draft.workLimit) {
        draft.workLimit = wish;
        draft.formerWork = std::max(draft.formerWork, wish);
        draft.loweredIn = draft.formerWork > wish ? draft.version : 0;
        m_lowering.reset();
        return true;
    }
    if (!draft.loweredIn)
        return false;
    if (!m_lowering || m_lowering->stopVersion() != draft.loweredIn)
        m_lowering.emplace(draft.service, 0, draft.loweredIn, draft.formerWork, m_options.gate);
    m_lowering->observe(roster, reports, now);
    if (!m_lowering->waitedOut(now))
        return false;
    draft.formerWork = draft.workLimit;
    draft.loweredIn = 0;
    m_lowering.reset();
    return true;
}

bool ServiceAssigner::finishStops(SliceTable& draft, Instant now) const
{
    bool changed = false;
    for (auto& slice : draft.slices) {
        const auto gate = m_gates.find(slice.begin);
        const bool sameStop = gate != m_gates.end() && gate->second.stopVersion() == slice.stoppedIn;
        if (slice.state != SliceState::Stopping || !sameStop || !gate->second.mayOwn(now))
            continue;
        slice.owner = slice.successor;
        slice.state = slice.successor == noServer ? SliceState::Unowned : SliceState::Serving;
        slice.successor = noServer;
        slice.stoppedIn = 0;
        if (slice.owner != noServer)
            slice.fence = draft.nextFence++;
        changed = true;
    }
    return changed;
}

bool ServiceAssigner::applyMoves(SliceTable& draft, const ServiceView& view, bool even)
{
    PlacementOptions options = m_options.placement;
    options.tolerance = view.service->tolerance;
    if (!even)
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
            slice.stoppedIn = draft.version;
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

bool RosterAssigner::changeIsLearnt(
    const Roster& roster, const RosterView& view, const HostReports& reports, Instant now)
{
    if (m_version != roster.version) {
        m_version = roster.version;
        m_majorityAt.reset();
    }
    size_t learnt = 0;
    for (const auto& member : roster.members) {
        const auto report = reports.find(member.name);
        if (member.state == MemberState::Member && report != reports.end() && report->second.counts
            && report->second.rosterVersion >= roster.version)
            ++learnt;
    }
    if (learnt < roster.majority()) {
        m_majorityAt.reset();
        return false;
    }
    if (!m_majorityAt)
        m_majorityAt = now;
    // A departed member may route by an older roster until its lease ran out, and its work may live on.
    const bool departing = std::any_of(roster.members.begin(), roster.members.end(),
        [](const Member& member) { return member.state == MemberState::Departed; });
    const Millis wait = departing ? m_options.lease + m_options.driftMargin + view.longestWork : Millis(0);
    return now >= *m_majorityAt + wait;
}

std::optional<Roster> RosterAssigner::next(
    const Roster& current, const RosterView& view, const HostReports& reports, Instant now)
{
    if (current.version && !changeIsLearnt(current, view, reports, now))
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
            *known = updated; // the same name came back at another address
            return draft;
        }
        draft.members.push_back(live);
        std::sort(draft.members.begin(), draft.members.end(),
            [](const Member& a, const Member& b) { return a.name < b.name; });
        return draft;
    }
    for (auto& member : draft.members) {
        if (!view.gone.count(member.name))
            continue;
        if (draft.countingMembers() == 1)
            return std::nullopt; // an empty roster could never agree on anything again
        member.state = MemberState::Departed;
        return draft;
    }
    return std::nullopt;
}

}
