#include "decisions/CrashEvidence.h"

#include <algorithm>
#include <utility>

namespace cumindale {

namespace {

    // One crash may be chance, and two may be due to a hot key. A request that was at three crashed servers and was
    // never answered is taken to be the cause.
    constexpr size_t crashesUntilQuarantine = 3;
    // Hosts learn of a suspect at once and report early if a server has answered it. Some messages get lost and arrive
    // with the next report, hence more than two intervals. The wait is capped where hosts report rarely, as servers
    // crash in the meantime.
    constexpr double reportIntervalsToClear = 2.4;
    constexpr Millis maxClearanceDelay { 700 };
    // Covers a server that becomes silent: its end is known when its store entry expires or its next incarnation
    // registers.
    constexpr Millis maxDetectionDelay { 6'000 };
    constexpr Millis suspectLifetime { 60'000 }; // since the last crash; callers retry within seconds
    constexpr Millis quarantineDuration {
        600'000
    }; // allows one crash in ten minutes if the request still crashes servers
    constexpr Millis answerLifetime { 10'000 }; // servers may change in which requests they can handle
    constexpr size_t maxAnswers = 4'096; // 200 kB; only the newest are kept if a host answers more in ten seconds
    constexpr size_t maxLostRequests = 512; // of one host, until its server is known to have gone or to be alive
    constexpr size_t maxRecentCrashes = 64; // of one host
    constexpr size_t maxRequestsPerCrash = 64; // from one host; more than a server runs at once
    constexpr size_t maxSuspects = 4'096; // 200 kB at the coordinator; the loss of a data centre makes a few thousand
    constexpr size_t maxQuarantined = 256;
    constexpr size_t maxEvents = 256; // until the next takeEvents()
    constexpr size_t maxAttributed = 1'024; // servers; the newest are kept

}

// --- On each host

void HostCrashTracker::responseLost(std::string_view server, Fingerprint request, Instant now)
{
    m_lostRequests.push_back({ std::string(server), request, now });
    if (m_lostRequests.size() > maxLostRequests)
        m_lostRequests.pop_front();
}

void HostCrashTracker::serverAlive(std::string_view server)
{
    std::erase_if(m_lostRequests, [&](const LostRequest& lost) { return lost.server == server; });
}

std::vector<Fingerprint> HostCrashTracker::serverGone(std::string_view server, Instant now)
{
    ServerCrash crash;
    crash.server = server;
    for (const auto& lost : m_lostRequests) {
        const bool atServer = lost.server == server && now - lost.at <= maxDetectionDelay;
        if (atServer && !wasAnswered(lost.request, now) && crash.requests.size() < maxRequestsPerCrash)
            crash.requests.push_back(lost.request);
    }
    serverAlive(server);
    if (crash.requests.empty())
        return {};
    m_ownSuspects.insert(crash.requests.begin(), crash.requests.end());
    m_recentCrashes.push_back({ crash, now });
    if (m_recentCrashes.size() > maxRecentCrashes)
        m_recentCrashes.pop_front();
    m_unreportedCrashes.push_back(crash);
    return std::move(crash.requests);
}

bool HostCrashTracker::wasAnswered(Fingerprint request, Instant now) const
{
    const auto found = m_answeredAt.find(request);
    return found != m_answeredAt.end() && now - found->second <= answerLifetime;
}

void HostCrashTracker::answered(Fingerprint request, Instant now)
{
    m_answeredAt[request] = now;
    m_answersInOrder.emplace_back(request, now);
    while (m_answersInOrder.size() > maxAnswers || now - m_answersInOrder.front().second > answerLifetime) {
        const auto [oldest, at] = m_answersInOrder.front();
        m_answersInOrder.pop_front();
        const auto found = m_answeredAt.find(oldest);
        if (found != m_answeredAt.end() && found->second == at)
            m_answeredAt.erase(found);
    }
    if (!isSuspect(request) && !isQuarantined(request))
        return;
    m_unreportedAnswered.insert(request);
    m_ownSuspects.erase(request);
    for (auto& recent : m_recentCrashes)
        std::erase(recent.crash.requests, request);
}

std::vector<Fingerprint> HostCrashTracker::applyCoordinatorUpdate(
    std::set<Fingerprint> suspects, std::set<Fingerprint> quarantined, Instant now)
{
    const auto previousSuspects = std::exchange(m_suspects, std::move(suspects));
    const auto previouslyQuarantined = std::exchange(m_quarantined, std::move(quarantined));
    std::vector<Fingerprint> answeredSuspects;
    for (const Fingerprint request : m_suspects) {
        if (!wasAnswered(request, now))
            continue;
        m_unreportedAnswered.insert(request);
        answeredSuspects.push_back(request);
    }
    std::set<Fingerprint> unreported;
    for (const auto& crash : m_unreportedCrashes)
        unreported.insert(crash.requests.begin(), crash.requests.end());
    const auto unlisted = [&](Fingerprint request) {
        return !m_suspects.count(request) && !m_quarantined.count(request) && !unreported.count(request);
    };
    // A request that the coordinator listed and no longer lists was answered, perhaps on another host. A request with a
    // single crash is never listed, and its crash must still be repeated to the next coordinator.
    const auto cleared = [&](Fingerprint request) {
        return unlisted(request) && (previousSuspects.count(request) || previouslyQuarantined.count(request));
    };
    std::erase_if(m_ownSuspects, unlisted);
    for (auto& recent : m_recentCrashes)
        std::erase_if(recent.crash.requests, cleared);
    return answeredSuspects;
}

void HostCrashTracker::repeatToNewCoordinator()
{
    m_unreportedCrashes.clear();
    for (const auto& recent : m_recentCrashes) {
        if (!recent.crash.requests.empty())
            m_unreportedCrashes.push_back(recent.crash);
    }
    // Clearances that this host reported to the previous coordinator may not have reached the other hosts.
    for (const Fingerprint request : m_suspects) {
        if (m_answeredAt.count(request))
            m_unreportedAnswered.insert(request);
    }
}

bool HostCrashTracker::isSuspect(Fingerprint request) const
{
    return m_suspects.count(request) || m_ownSuspects.count(request);
}

std::vector<ServerCrash> HostCrashTracker::takeCrashes() { return std::exchange(m_unreportedCrashes, {}); }

std::vector<Fingerprint> HostCrashTracker::takeAnswered()
{
    std::vector<Fingerprint> requests(m_unreportedAnswered.begin(), m_unreportedAnswered.end());
    m_unreportedAnswered.clear();
    return requests;
}

void HostCrashTracker::dropExpired(Instant now)
{
    while (!m_lostRequests.empty() && now - m_lostRequests.front().at > maxDetectionDelay)
        m_lostRequests.pop_front();
    if (m_recentCrashes.empty() || now - m_recentCrashes.front().at <= suspectLifetime)
        return;
    while (!m_recentCrashes.empty() && now - m_recentCrashes.front().at > suspectLifetime)
        m_recentCrashes.pop_front();
    std::set<Fingerprint> remaining;
    for (const auto& recent : m_recentCrashes)
        remaining.insert(recent.crash.requests.begin(), recent.crash.requests.end());
    std::erase_if(m_ownSuspects, [&](Fingerprint request) { return !remaining.count(request); });
}

// --- At the coordinator

void CrashAggregator::crashed(const ServerCrash& crash, Instant now)
{
    dropExpired(now);
    for (const Fingerprint request : crash.requests) {
        const auto known = m_quarantined.find(request);
        if (known == m_quarantined.end())
            continue;
        // The request was sent before its host learned of the quarantine, or was the one attempt allowed after it. The
        // fault is still there.
        ++known->second.crashes;
        if (known->second.until <= now)
            ++m_edition;
        known->second.until = now + quarantineDuration;
        attributeCrashes({ crash.server });
    }
    if (m_attributed.count(crash.server))
        return;
    for (const Fingerprint request : crash.requests) {
        if (m_quarantined.count(request))
            continue;
        Suspect& suspect = m_suspects[request];
        suspect.servers.insert(crash.server);
        suspect.lastCrashAt = now;
        const bool nearQuarantine = suspect.servers.size() + 1 >= crashesUntilQuarantine;
        if (!nearQuarantine)
            continue;
        if (m_nearQuarantine.insert(request).second)
            suspect.nearQuarantineSince = now;
        addEvent({ CrashEvent::Kind::Suspected, request, static_cast<unsigned>(suspect.servers.size()), crash.server });
    }
    while (m_suspects.size() > maxSuspects) {
        const auto oldest = std::min_element(m_suspects.begin(), m_suspects.end(),
            [](const auto& a, const auto& b) { return a.second.lastCrashAt < b.second.lastCrashAt; });
        dropSuspect(oldest->first);
    }
}

Millis CrashAggregator::clearanceDelay() const
{
    const auto needed = std::chrono::duration_cast<Millis>(m_reportInterval * reportIntervalsToClear);
    return std::min(needed, maxClearanceDelay);
}

// Other requests were at these servers by chance: while servers crash one after the other, a request that is retried
// meets several of them.
void CrashAggregator::attributeCrashes(const std::set<std::string, std::less<>>& servers)
{
    for (const auto& server : servers) {
        if (m_attributed.insert(server).second)
            m_attributedInOrder.push_back(server);
    }
    while (m_attributedInOrder.size() > maxAttributed) {
        m_attributed.erase(m_attributedInOrder.front());
        m_attributedInOrder.pop_front();
    }
    std::vector<Fingerprint> cleared;
    for (auto& [request, suspect] : m_suspects) {
        std::erase_if(suspect.servers, [&](const std::string& server) { return servers.count(server) > 0; });
        if (suspect.servers.size() + 1 < crashesUntilQuarantine)
            m_nearQuarantine.erase(request);
        if (suspect.servers.empty())
            cleared.push_back(request);
    }
    for (const Fingerprint request : cleared)
        dropSuspect(request);
}

void CrashAggregator::quarantineConfirmed(Instant now)
{
    // In order of falling crash counts: crashes shared by several suspects are attributed to the one with the most.
    std::vector<std::pair<size_t, Fingerprint>> candidates;
    for (const Fingerprint request : m_nearQuarantine)
        candidates.emplace_back(m_suspects.at(request).servers.size(), request);
    std::sort(candidates.rbegin(), candidates.rend());
    for (const auto& [size, request] : candidates) {
        if (!m_nearQuarantine.count(request))
            continue;
        const Suspect suspect = m_suspects.at(request);
        const auto crashes = static_cast<unsigned>(suspect.servers.size());
        if (crashes < crashesUntilQuarantine || now - suspect.nearQuarantineSince < clearanceDelay())
            continue;
        dropSuspect(request);
        attributeCrashes(suspect.servers);
        restore({ request, crashes, now, now + quarantineDuration });
        addEvent({ CrashEvent::Kind::Quarantined, request, crashes });
    }
}

void CrashAggregator::restore(const QuarantinedRequest& request)
{
    m_quarantined.insert_or_assign(request.request, request);
    ++m_edition;
    if (m_quarantined.size() <= maxQuarantined)
        return;
    m_quarantined.erase(std::min_element(m_quarantined.begin(), m_quarantined.end(),
        [](const auto& a, const auto& b) { return a.second.until < b.second.until; }));
}

void CrashAggregator::answered(Fingerprint request)
{
    const auto quarantined = m_quarantined.find(request);
    if (quarantined != m_quarantined.end())
        addEvent({ CrashEvent::Kind::Cleared, request, quarantined->second.crashes });
    else if (m_nearQuarantine.count(request))
        addEvent({ CrashEvent::Kind::Cleared, request, static_cast<unsigned>(m_suspects.at(request).servers.size()) });
    dropSuspect(request);
    m_edition += m_quarantined.erase(request);
}

void CrashAggregator::addEvent(CrashEvent event)
{
    if (m_events.size() < maxEvents)
        m_events.push_back(std::move(event));
}

std::vector<CrashEvent> CrashAggregator::takeEvents() { return std::exchange(m_events, {}); }

std::string_view toString(CrashEvent::Kind kind)
{
    switch (kind) {
    case CrashEvent::Kind::Suspected:
        return "request-suspected";
    case CrashEvent::Kind::Cleared:
        return "request-cleared";
    case CrashEvent::Kind::Quarantined:
        return "request-quarantined";
    }
    return "request";
}

void CrashAggregator::dropSuspect(Fingerprint request)
{
    m_suspects.erase(request);
    m_nearQuarantine.erase(request);
}

void CrashAggregator::release(Fingerprint request) { answered(request); }

void CrashAggregator::clear()
{
    m_suspects.clear();
    m_nearQuarantine.clear();
    m_quarantined.clear();
    m_attributed.clear();
    m_attributedInOrder.clear();
    m_edition = 0;
    m_events.clear();
}

void CrashAggregator::dropExpired(Instant now)
{
    constexpr Millis expiryInterval { 1'000 };
    if (now - m_expiredAt < expiryInterval)
        return;
    m_expiredAt = now;
    std::erase_if(m_suspects, [&](const auto& entry) {
        const bool old = now - entry.second.lastCrashAt > suspectLifetime;
        if (old)
            m_nearQuarantine.erase(entry.first);
        return old;
    });
}

std::vector<Fingerprint> CrashAggregator::suspects(Instant now)
{
    dropExpired(now);
    quarantineConfirmed(now);
    return { m_nearQuarantine.begin(), m_nearQuarantine.end() };
}

std::vector<QuarantinedRequest> CrashAggregator::quarantined(Instant now)
{
    quarantineConfirmed(now);
    std::vector<QuarantinedRequest> requests;
    for (const auto& [request, entry] : m_quarantined) {
        if (now < entry.until)
            requests.push_back(entry);
    }
    return requests;
}

}
