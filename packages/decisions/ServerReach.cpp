#include "decisions/ServerReach.h"

#include <algorithm>

namespace cumindale {

void ServerReach::connected(std::string_view server, size_t servers)
{
    m_failures.clear();
    if (!m_cutOff)
        return;
    Evidence& evidence = m_evidence[std::string(server)];
    m_anyRestored |= evidence.tried && !evidence.connected;
    evidence.tried = true;
    evidence.connected = true;
    m_successes.emplace(server);
    const bool enough = m_successes.size() >= std::min(m_options.successesUntilReconnected, servers);
    if (enough && (m_anyRestored || mostServersConnect()))
        setCutOff(false);
}

void ServerReach::connectFailed(std::string_view server, Instant now)
{
    if (!m_cutOff) {
        std::erase_if(
            m_failures, [&](const auto& failure) { return now - failure.second > m_options.failureLifetime; });
        m_failures[std::string(server)] = now;
        return;
    }
    m_successes.clear();
    m_anyRestored = false;
    Evidence& evidence = m_evidence[std::string(server)];
    evidence.tried = true;
    evidence.connected = false;
}

// Well below the half that cuts a host off, so that the state doesn't change while the servers in reach are the same.
bool ServerReach::mostServersConnect() const
{
    constexpr double mostFailures = 0.4;
    size_t tried = 0;
    size_t failures = 0;
    for (const auto& [server, evidence] : m_evidence) {
        tried += evidence.tried;
        failures += evidence.tried && !evidence.connected;
    }
    return static_cast<double>(failures) < mostFailures * static_cast<double>(tried);
}

void ServerReach::answered(std::string_view server, Instant now)
{
    m_lastAnswer = now;
    if (m_cutOff)
        m_evidence[std::string(server)].answered = true;
}

void ServerReach::checked(size_t probes, size_t failures, Instant now)
{
    m_checkedAt = now;
    if (!m_cutOff && failures * 2 > probes)
        setCutOff(true);
}

void ServerReach::checked(std::span<const ProbeOutcome> outcomes, Instant now)
{
    const auto failed = std::count_if(
        outcomes.begin(), outcomes.end(), [](const ProbeOutcome& outcome) { return !outcome.connected; });
    checked(outcomes.size(), static_cast<size_t>(failed), now);
    if (!m_cutOff)
        return;
    for (const ProbeOutcome& outcome : outcomes)
        m_evidence[outcome.server] = { true, outcome.connected, false };
}

void ServerReach::retain(const std::function<bool(std::string_view server)>& isKnown)
{
    std::erase_if(m_evidence, [&](const auto& server) { return !isKnown(server.first); });
}

bool ServerReach::suspicious(Instant now) const
{
    const auto recent = std::count_if(m_failures.begin(), m_failures.end(),
        [&](const auto& failure) { return now - failure.second <= m_options.failureLifetime; });
    return static_cast<size_t>(recent) >= m_options.failuresUntilSuspicion;
}

ServerReach::Path ServerReach::pathTo(std::string_view server) const
{
    if (!m_cutOff)
        return Path::Connects;
    const auto known = m_evidence.find(server);
    if (known == m_evidence.end())
        return Path::Unknown;
    const Evidence& evidence = known->second;
    if (evidence.connected)
        return Path::Connects;
    if (evidence.answered)
        return Path::AnswersOnly;
    return evidence.tried ? Path::Fails : Path::Unknown;
}

void ServerReach::setCutOff(bool cutOff)
{
    m_cutOff = cutOff;
    m_failures.clear();
    m_successes.clear();
    m_anyRestored = false;
    m_evidence.clear();
}

std::vector<size_t> chooseProbes(std::span<const ProbeCandidate> candidates, size_t count, uint64_t random)
{
    std::vector<size_t> chosen;
    std::set<std::string_view> dataCentres;
    for (const bool newDataCentresOnly : { true, false }) {
        for (size_t i = 0; i < candidates.size() && chosen.size() < count; ++i) {
            const size_t index = (random % candidates.size() + i) % candidates.size();
            const bool taken = std::find(chosen.begin(), chosen.end(), index) != chosen.end();
            if (taken || (newDataCentresOnly && !dataCentres.insert(candidates[index].dataCentre).second))
                continue;
            chosen.push_back(index);
        }
    }
    return chosen;
}

}
