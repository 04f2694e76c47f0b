#include "decisions/RoutingLease.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace cumindale {

uint64_t KnownVersions::ofTable(std::string_view service) const
{
    const auto found = tables.find(service);
    return found == tables.end() ? 0 : found->second;
}

RoutingLease::RoutingLease(std::string self, RoutingLeaseOptions options)
    : m_self(std::move(self))
    , m_options(options)
{
}

void RoutingLease::updateRoster(const Roster& roster)
{
    if (roster.version <= m_known.roster)
        return;
    m_known.roster = roster.version;
    m_roster = roster;
}

void RoutingLease::updateTableVersion(std::string_view service, uint64_t version)
{
    auto found = m_known.tables.find(service);
    if (found == m_known.tables.end())
        m_known.tables.emplace(service, version);
    else
        found->second = std::max(found->second, version);
}

void RoutingLease::recordPeerAnswer(
    std::string_view peer, Instant askedAt, const KnownVersions& theirs, bool peerCounts)
{
    auto& answer = m_answers[std::string(peer)];
    // A late or duplicate answer must not replace a newer one of the same peer.
    if (answer.counts && askedAt < answer.askedAt)
        return;
    answer = { askedAt, theirs, peerCounts };
    updateCountsInMajorities();
}

void RoutingLease::recordStoreAnswer(Instant askedAt, const KnownVersions& inStore)
{
    if (m_storeHasAnswered && askedAt < m_storeAnswer.askedAt)
        return;
    m_storeAnswer = { askedAt, inStore, true };
    m_storeHasAnswered = true;
    // This host now holds every version that the store had after this process started, so it has all versions that a
    // previous incarnation acknowledged.
    const bool holdsAll = m_known.roster >= inStore.roster
        && std::all_of(inStore.tables.begin(), inStore.tables.end(),
            [this](const auto& table) { return m_known.ofTable(table.first) >= table.second; });
    if (holdsAll)
        m_countsInMajorities = true;
}

void RoutingLease::updateCountsInMajorities()
{
    if (m_countsInMajorities || !m_roster.version)
        return;
    // Needs a majority made up of other hosts alone. If a previous incarnation of this host acknowledged a version as
    // part of a majority, at least one of these hosts acknowledged that version as well.
    size_t others = 0;
    for (const auto& member : m_roster.members) {
        if (member.state != MemberState::Member || member.name == m_self)
            continue;
        const auto answer = m_answers.find(member.name);
        if (answer == m_answers.end() || !answer->second.counts || answer->second.versions.roster > m_known.roster)
            continue;
        const auto& tables = answer->second.versions.tables;
        if (std::all_of(tables.begin(), tables.end(),
                [this](const auto& table) { return m_known.ofTable(table.first) >= table.second; }))
            ++others;
    }
    m_countsInMajorities = others >= m_roster.majority();
}

bool RoutingLease::mayRoute() const { return m_countsInMajorities && m_roster.isMember(m_self); }

bool RoutingLease::knowsNothingNewer(const KnownVersions& theirs, std::string_view service) const
{
    return theirs.roster <= m_known.roster && theirs.ofTable(service) <= m_known.ofTable(service);
}

Instant RoutingLease::validUntil(std::string_view service, Instant now) const
{
    constexpr Instant never {};
    if (!mayRoute())
        return never;
    Instant until = never;
    // The versions must be equal: a store that was restored from a backup may hold older versions than this host, and
    // then its answer doesn't show that no newer versions were committed.
    const bool storeHoldsSameVersions = m_storeAnswer.versions.roster == m_known.roster
        && m_storeAnswer.versions.ofTable(service) == m_known.ofTable(service);
    if (m_storeHasAnswered && storeHoldsSameVersions)
        until = m_storeAnswer.askedAt + m_options.lease;

    std::vector<Instant> asked { now }; // this host itself
    for (const auto& member : m_roster.members) {
        if (member.state != MemberState::Member || member.name == m_self)
            continue;
        const auto answer = m_answers.find(member.name);
        if (answer != m_answers.end() && answer->second.counts && knowsNothingNewer(answer->second.versions, service))
            asked.push_back(answer->second.askedAt);
    }
    const size_t majority = m_roster.majority();
    if (asked.size() < majority)
        return until;
    std::nth_element(
        asked.begin(), asked.begin() + static_cast<ptrdiff_t>(majority) - 1, asked.end(), std::greater<>());
    return std::max(until, asked[majority - 1] + m_options.lease);
}

}
