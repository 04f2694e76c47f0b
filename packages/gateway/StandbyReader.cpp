#include "gateway/StandbyReader.h"

#include "base/Log.h"
#include "base/Random.h"
#include "decisions/FleetTiming.h"

#include <algorithm>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    // Part of the interval by which the hosts' first questions are spread, beyond their own times of reporting.
    constexpr int jitterDivisor = 10;
    // A standby that has learned from the first question that hosts await a coordinator resumes its watch meanwhile.
    constexpr Millis resumeTime { 400 };
    // Of the others in a round. Each is asked in two rounds in a row, since it resumes its watch after the first one.
    constexpr size_t maxOthers = 2;

    std::string_view nameOf(StandbyAnswer answer)
    {
        switch (answer) {
        case StandbyAnswer::Recent:
            return "recent";
        case StandbyAnswer::Incomplete:
            return "incomplete";
        case StandbyAnswer::StoreSilent:
            return "store-silent";
        case StandbyAnswer::None:
            break;
        }
        return "unanswered";
    }

}

StandbyReader::StandbyReader(asio::any_io_executor executor, const Clock& clock, std::string ownAddress,
    Metrics& metrics, ReportSource makeReport, AnswerSink answerSink)
    : m_executor(executor)
    , m_clock(clock)
    , m_ownAddress(std::move(ownAddress))
    , m_makeReport(std::move(makeReport))
    , m_answerSink(std::move(answerSink))
    , m_bytesSent(metrics.counter("peers_bytes_sent"))
    , m_questions(metrics.counter("standbys_asked"))
    , m_unanswered(metrics.counter("standbys_unanswered"))
    , m_changed(executor)
{
}

void StandbyReader::setStandbys(
    int64_t checksum, const std::vector<std::string>& standbys, const std::vector<std::string>& others)
{
    if (!checksum || checksum == m_checksum)
        return;
    m_checksum = checksum;
    m_standbys = standbys;
    m_others = others;
    std::erase(m_standbys, m_ownAddress);
    std::erase(m_others, m_ownAddress);
}

bool StandbyReader::start(Millis interval)
{
    m_interval = interval;
    if (std::exchange(m_active, true))
        return false;
    m_next = randomNumber();
    m_changed.notifyAll();
    return true;
}

void StandbyReader::stop()
{
    if (std::exchange(m_active, false))
        m_changed.notifyAll();
}

asio::awaitable<void> StandbyReader::run()
{
    for (;;) {
        if (!m_active || (m_standbys.empty() && m_others.empty())) {
            m_link.reset();
            m_recent.clear();
            m_answered = true;
            m_isSpread = false;
            co_await m_changed.wait(maxIdleWait);
            continue;
        }
        if (!std::exchange(m_isSpread, true))
            co_await sleepFor(randomUpTo(m_interval / jitterDivisor));
        const Instant begun = m_clock.now();
        StandbyAnswer answer = co_await ask(standbysToAsk());
        if (m_active && answer != StandbyAnswer::Recent) {
            const StandbyAnswer others = co_await ask(othersToAsk());
            answer = std::min(answer, others);
        }
        if (m_active)
            recordAnswer(answer);
        const Millis left = m_interval - (m_clock.now() - begun);
        if (m_active && left > Millis(0))
            co_await m_changed.wait(left);
    }
}

void StandbyReader::recordAnswer(StandbyAnswer answer)
{
    const bool recent = answer == StandbyAnswer::Recent;
    if (!recent)
        ++m_next;
    if (std::exchange(m_answered, recent) != recent)
        logChange(recent ? LogLevel::Info : LogLevel::Warning, recent ? "standbys-answer" : "standbys-silent",
            { { "standbys", m_standbys.size() }, { "others", m_others.size() }, { "why", nameOf(answer) } });
}

std::vector<std::string> StandbyReader::standbysToAsk() const
{
    std::vector<std::string> addresses;
    if (!m_recent.empty())
        addresses.push_back(m_recent);
    for (size_t i = 0; i < m_standbys.size(); ++i) {
        const std::string& address = m_standbys[(m_next + i) % m_standbys.size()];
        if (address != m_recent)
            addresses.push_back(address);
    }
    return addresses;
}

std::vector<std::string> StandbyReader::othersToAsk() const
{
    std::vector<std::string> addresses;
    for (size_t i = 0; i < std::min(maxOthers, m_others.size()); ++i)
        addresses.push_back(m_others[(m_next + i) % m_others.size()]);
    return addresses;
}

asio::awaitable<StandbyAnswer> StandbyReader::ask(std::vector<std::string> addresses)
{
    const StandbyAnswer answer = co_await askEach(addresses);
    if (answer == StandbyAnswer::Recent || !m_answered || !m_active || addresses.empty())
        co_return answer;
    co_await sleepFor(resumeTime);
    co_return co_await askEach(addresses);
}

asio::awaitable<StandbyAnswer> StandbyReader::askEach(std::vector<std::string>& addresses)
{
    StandbyAnswer best = StandbyAnswer::None;
    std::vector<std::string> answering;
    for (auto address = addresses.begin(); m_active && address != addresses.end(); ++address) {
        const StandbyAnswer answer = co_await askOne(*address);
        best = std::min(best, answer);
        if (answer != StandbyAnswer::None)
            answering.push_back(*address);
        if (answer == StandbyAnswer::Recent) {
            m_recent = *address;
            break;
        }
        if (m_recent == *address)
            m_recent.clear();
    }
    addresses = std::move(answering);
    co_return best;
}

asio::awaitable<StandbyAnswer> StandbyReader::askOne(std::string address)
{
    if (!m_link || m_linkAddress != address)
        m_link = makeCoordinationLink(m_executor, address, m_bytesSent);
    m_linkAddress = address;
    if (!m_link)
        co_return StandbyAnswer::None;
    m_questions.add();
    const Instant askedAt = m_clock.now();
    const std::optional<wire::HostAdvice> advice = co_await m_link->report(m_makeReport(), reportTimeout);
    if (advice)
        co_return m_answerSink(*advice, askedAt);
    m_unanswered.add();
    m_link.reset();
    co_return StandbyAnswer::None;
}

}
