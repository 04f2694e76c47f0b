#include "decisions/CrashEvidence.h"

#include <algorithm>
#include <utility>

namespace cumindale {

namespace {

    // One crash may be chance and two may be a hot key; a request alone was at three servers that went away, and was
    // never answered.
    constexpr size_t crashesUntilQuarantine = 3;
    // Hosts are told of a suspect at once, and say so if a server has answered it: early, but some messages get lost
    // and come with the next report. Where hosts report seldom it is cut short, as servers crash meanwhile.
    constexpr double reportsUntilAnswer = 2.4;
    constexpr Millis longestAnswer { 700 };
    // A server that falls silent is known to have gone when its entry lapses or its next incarnation registers.
    constexpr Millis goneWithin { 6'000 };
    constexpr Millis remembered { 60'000 }; // of a suspect since its last crash: callers come again within seconds
    constexpr Millis quarantineLasts { 600'000 }; // one crash in ten minutes, if the request still crashes servers
    constexpr Millis answerCountsFor { 10'000 }; // servers may change what they can bear
    constexpr size_t mostAnswers = 4'096; // 200 kB; where a host answers more in ten seconds, the newest
    constexpr size_t mostLost = 512; // of one host, waiting to be known
    constexpr size_t mostReported = 64; // crashes of one host
    constexpr size_t mostInCrash = 64; // of one host at one server: more than any takes at once
    constexpr size_t mostSuspects = 4'096; // 200 kB at the coordinator; a data centre's loss makes some thousand
    constexpr size_t mostQuarantined = 256;
    constexpr size_t mostEvents = 256; // not taken yet
    constexpr size_t mostExplained = 1'024; // servers, the newest

}

// --- On each host

void CrashWatch::sendLost(std::string_view server, Fingerprint request, Instant now)
{
    m_lost.push_back({ std::string(server), request, now });
    if (m_lost.size() > mostLost)
        m_lost.pop_front();
}

void CrashWatch::serverLives(std::string_view server)
{
    std::erase_if(m_lost, [&](const LostSend& send) { return send.server == server; });
}

std::vector<Fingerprint> CrashWatch::serverGone(std::string_view server, Instant now)
{
    ServerCrash crash;
    crash.server = server;
    for (const auto& send : m_lost) {
        const bool there = send.server == server && now - send.at <= goneWithin;
        if (there && !wasAnswered(send.request, now) && crash.requests.size() < mostInCrash)
            crash.requests.push_back(send.request);
    }
    serverLives(server);
    if (crash.requests.empty())
        return {};
    m_own.insert(crash.requests.begin(), crash.requests.end());
    m_reported.push_back({ crash, now });
    if (m_reported.size() > mostReported)
        m_reported.pop_front();
    m_crashes.push_back(crash);
    return std::move(crash.requests);
}

bool CrashWatch::wasAnswered(Fingerprint request, Instant now) const
{
    const auto found = m_answeredAt.find(request);
    return found != m_answeredAt.end() && now - found->second <= answerCountsFor;
}

void CrashWatch::answered(Fingerprint request, Instant now)
{
    m_answeredAt[request] = now;
    m_answers.emplace_back(request, now);
    while (m_answers.size() > mostAnswers || now - m_answers.front().second > answerCountsFor) {
        const auto [oldest, at] = m_answers.front();
        m_answers.pop_front();
        const auto found = m_answeredAt.find(oldest);
        if (found != m_answeredAt.end() && found->second == at)
            m_answeredAt.erase(found);
    }
    if (!suspect(request) && !quarantined(request))
        return;
    m_answered.insert(request);
    m_own.erase(request);
    for (auto& own : m_reported)
        std::erase(own.crash.requests, request);
}

std::vector<Fingerprint> CrashWatch::told(
    std::set<Fingerprint> suspects, std::set<Fingerprint> quarantined, Instant now)
{
    const auto formerSuspects = std::exchange(m_suspects, std::move(suspects));
    const auto formerlyQuarantined = std::exchange(m_quarantined, std::move(quarantined));
    std::vector<Fingerprint> innocent;
    for (const Fingerprint request : m_suspects) {
        if (!wasAnswered(request, now))
            continue;
        m_answered.insert(request);
        innocent.push_back(request);
    }
    std::set<Fingerprint> unreported;
    for (const auto& crash : m_crashes)
        unreported.insert(crash.requests.begin(), crash.requests.end());
    const auto unnamed = [&](Fingerprint request) {
        return !m_suspects.count(request) && !m_quarantined.count(request) && !unreported.count(request);
    };
    // What the coordinator named and names no more was answered, perhaps at another host. A single crash is never
    // named, and still counts if the next coordinator learns of it.
    const auto cleared = [&](Fingerprint request) {
        return unnamed(request) && (formerSuspects.count(request) || formerlyQuarantined.count(request));
    };
    std::erase_if(m_own, unnamed);
    for (auto& own : m_reported)
        std::erase_if(own.crash.requests, cleared);
    return innocent;
}

void CrashWatch::repeatToNewCoordinator()
{
    m_crashes.clear();
    for (const auto& own : m_reported) {
        if (!own.crash.requests.empty())
            m_crashes.push_back(own.crash);
    }
    // What this host had said to its predecessor may not have come to the others.
    for (const Fingerprint request : m_suspects) {
        if (m_answeredAt.count(request))
            m_answered.insert(request);
    }
}

bool CrashWatch::suspect(Fingerprint request) const { return m_suspects.count(request) || m_own.count(request); }

std::vector<ServerCrash> CrashWatch::takeCrashes() { return std::exchange(m_crashes, {}); }

std::vector<Fingerprint> CrashWatch::takeAnswered()
{
    std::vector<Fingerprint> requests(m_answered.begin(), m_answered.end());
    m_answered.clear();
    return requests;
}

void CrashWatch::forgetOld(Instant now)
{
    while (!m_lost.empty() && now - m_lost.front().at > goneWithin)
        m_lost.pop_front();
    if (m_reported.empty() || now - m_reported.front().at <= remembered)
        return;
    while (!m_reported.empty() && now - m_reported.front().at > remembered)
        m_reported.pop_front();
    std::set<Fingerprint> left;
    for (const auto& own : m_reported)
        left.insert(own.crash.requests.begin(), own.crash.requests.end());
    std::erase_if(m_own, [&](Fingerprint request) { return !left.count(request); });
}

// --- At the coordinator

void CrashLedger::crashed(const ServerCrash& crash, Instant now)
{
    forgetOld(now);
    for (const Fingerprint request : crash.requests) {
        const auto known = m_quarantined.find(request);
        if (known == m_quarantined.end())
            continue;
        // It was on its way when the others learned, or the one try that is allowed: it has not been mended.
        ++known->second.crashes;
        if (known->second.until <= now)
            ++m_edition;
        known->second.until = now + quarantineLasts;
        explain({ crash.server });
    }
    if (m_explained.count(crash.server))
        return;
    for (const Fingerprint request : crash.requests) {
        if (m_quarantined.count(request))
            continue;
        Suspect& suspect = m_suspects[request];
        suspect.servers.insert(crash.server);
        suspect.last = now;
        const bool near = suspect.servers.size() + 1 >= crashesUntilQuarantine;
        if (!near)
            continue;
        if (m_nearQuarantine.insert(request).second)
            suspect.nearSince = now;
        note({ CrashEvent::What::Suspected, request, static_cast<unsigned>(suspect.servers.size()), crash.server });
    }
    while (m_suspects.size() > mostSuspects) {
        const auto oldest = std::min_element(m_suspects.begin(), m_suspects.end(),
            [](const auto& a, const auto& b) { return a.second.last < b.second.last; });
        forget(oldest->first);
    }
}

Millis CrashLedger::hostsAnswerWithin() const
{
    const auto needed = std::chrono::duration_cast<Millis>(m_reportInterval * reportsUntilAnswer);
    return std::min(needed, longestAnswer);
}

// What else was at those servers was there by chance: while servers fall over one after the other, a request that is
// tried again and again meets several of them.
void CrashLedger::explain(const std::set<std::string, std::less<>>& servers)
{
    for (const auto& server : servers) {
        if (m_explained.insert(server).second)
            m_explainedInOrder.push_back(server);
    }
    while (m_explainedInOrder.size() > mostExplained) {
        m_explained.erase(m_explainedInOrder.front());
        m_explainedInOrder.pop_front();
    }
    std::vector<Fingerprint> innocent;
    for (auto& [request, suspect] : m_suspects) {
        std::erase_if(suspect.servers, [&](const std::string& server) { return servers.count(server) > 0; });
        if (suspect.servers.size() + 1 < crashesUntilQuarantine)
            m_nearQuarantine.erase(request);
        if (suspect.servers.empty())
            innocent.push_back(request);
    }
    for (const Fingerprint request : innocent)
        forget(request);
}

void CrashLedger::quarantineProven(Instant now)
{
    // Those with the most crashes first: they explain the crashes that others have in common with them.
    std::vector<std::pair<size_t, Fingerprint>> near;
    for (const Fingerprint request : m_nearQuarantine)
        near.emplace_back(m_suspects.at(request).servers.size(), request);
    std::sort(near.rbegin(), near.rend());
    for (const auto& [size, request] : near) {
        if (!m_nearQuarantine.count(request))
            continue;
        const Suspect suspect = m_suspects.at(request);
        const auto crashes = static_cast<unsigned>(suspect.servers.size());
        if (crashes < crashesUntilQuarantine || now - suspect.nearSince < hostsAnswerWithin())
            continue;
        forget(request);
        explain(suspect.servers);
        restore({ request, crashes, now, now + quarantineLasts });
        note({ CrashEvent::What::Quarantined, request, crashes });
    }
}

void CrashLedger::restore(const QuarantinedRequest& request)
{
    m_quarantined.insert_or_assign(request.request, request);
    ++m_edition;
    if (m_quarantined.size() <= mostQuarantined)
        return;
    m_quarantined.erase(std::min_element(m_quarantined.begin(), m_quarantined.end(),
        [](const auto& a, const auto& b) { return a.second.until < b.second.until; }));
}

void CrashLedger::answered(Fingerprint request)
{
    const auto quarantined = m_quarantined.find(request);
    if (quarantined != m_quarantined.end())
        note({ CrashEvent::What::Cleared, request, quarantined->second.crashes });
    else if (m_nearQuarantine.count(request))
        note({ CrashEvent::What::Cleared, request, static_cast<unsigned>(m_suspects.at(request).servers.size()) });
    forget(request);
    m_edition += m_quarantined.erase(request);
}

void CrashLedger::note(CrashEvent event)
{
    if (m_events.size() < mostEvents)
        m_events.push_back(std::move(event));
}

std::vector<CrashEvent> CrashLedger::takeEvents() { return std::exchange(m_events, {}); }

std::string_view toString(CrashEvent::What what)
{
    switch (what) {
    case CrashEvent::What::Suspected:
        return "request-suspected";
    case CrashEvent::What::Cleared:
        return "request-cleared";
    case CrashEvent::What::Quarantined:
        return "request-quarantined";
    }
    return "request";
}

void CrashLedger::forget(Fingerprint request)
{
    m_suspects.erase(request);
    m_nearQuarantine.erase(request);
}

void CrashLedger::release(Fingerprint request) { answered(request); }

void CrashLedger::clear()
{
    m_suspects.clear();
    m_nearQuarantine.clear();
    m_quarantined.clear();
    m_explained.clear();
    m_explainedInOrder.clear();
    m_edition = 0;
    m_events.clear();
}

void CrashLedger::forgetOld(Instant now)
{
    constexpr Millis forgetEvery { 1'000 };
    if (now - m_forgotAt < forgetEvery)
        return;
    m_forgotAt = now;
    std::erase_if(m_suspects, [&](const auto& entry) {
        const bool old = now - entry.second.last > remembered;
        if (old)
            m_nearQuarantine.erase(entry.first);
        return old;
    });
}

std::vector<Fingerprint> CrashLedger::suspects(Instant now)
{
    forgetOld(now);
    quarantineProven(now);
    return { m_nearQuarantine.begin(), m_nearQuarantine.end() };
}

std::vector<QuarantinedRequest> CrashLedger::quarantined(Instant now)
{
    quarantineProven(now);
    std::vector<QuarantinedRequest> requests;
    for (const auto& [request, entry] : m_quarantined) {
        if (now < entry.until)
            requests.push_back(entry);
    }
    return requests;
}

}
