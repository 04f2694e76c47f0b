#include "gateway/RulesWatcher.h"

#include "base/Log.h"
#include "base/Random.h"

#include <algorithm>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr Millis initialBackoff { 100 };
    constexpr Millis maxWait { 1'000 }; // between two looks at the time of the next check
    constexpr Millis maxPauseBetween { 100 }; // checks that follow on each other
    constexpr Millis phaseSteps { 10'000 }; // number of phases, of which each host takes one
    constexpr Millis readTimeout { 1'500 }; // long enough for a slow store

}

RulesWatcher::RulesWatcher(asio::any_io_executor executor, const Clock& clock, const PlatformAdapter& adapter,
    Store& store, PlatformView& view, Metrics& metrics, ChangeSink sink)
    : m_clock(clock)
    , m_adapter(adapter)
    , m_store(store)
    , m_view(view)
    , m_changeSink(std::move(sink))
    , m_checks(metrics.counter("rules_checks"))
    , m_failures(metrics.counter("rules_checks_failed"))
    , m_bytesRead(metrics.counter("rules_check_bytes"))
    , m_wakeUp(std::move(executor))
    , m_phase(static_cast<double>(randomUpTo(phaseSteps).count()) / static_cast<double>(phaseSteps.count()))
{
}

Millis RulesWatcher::timeToCheck() const
{
    const RulesFreshness& rules = m_view.rulesFreshness();
    const Instant next = rules.outdated() ? m_messageUntil : rules.nextCheck(m_phase);
    return std::max(Millis(0), std::min(next, m_checkBy) - m_clock.now());
}

// The messages of a large document take longer than that of a small one, and hosts that don't wait for theirs read it
// from the store: all of them at once would fill its link. So each waits for a random part of the time that is left.
void RulesWatcher::expectDocument(Millis messageTime)
{
    const Millis more = randomUpTo(std::max(Millis(0), m_longestWait - messageTime));
    m_messageUntil = std::max(m_messageUntil, m_clock.now() + messageTime + more);
    m_wakeUp.notifyAll();
}

void RulesWatcher::checkSoon()
{
    m_checkBy = std::min(m_checkBy, m_view.rulesFreshness().checkAfterLoss(m_clock.now(), m_phase));
    m_wakeUp.notifyAll();
}

asio::awaitable<void> RulesWatcher::run()
{
    Millis backoff = initialBackoff;
    for (;;) {
        const Millis left = timeToCheck();
        if (left > Millis(0)) {
            co_await m_wakeUp.wait(std::min(left, maxWait));
            continue;
        }
        const bool answered = co_await check();
        recordCheck(answered);
        // There may be no document yet, and one that was announced may have been deleted or replaced meanwhile.
        if (answered && m_view.rules() && !m_view.rulesFreshness().outdated()) {
            backoff = initialBackoff;
            continue;
        }
        co_await sleepFor(backoff / 2 + randomUpTo(backoff));
        backoff = std::min(m_view.rulesFreshness().watchDuration(), backoff * 2);
    }
}

void RulesWatcher::recordCheck(bool answered)
{
    if (!answered)
        m_failures.add();
    if (answered == m_failed)
        logChange(answered ? LogLevel::Info : LogLevel::Warning,
            answered ? "rules-check-answered" : "rules-check-failed",
            { { "revision", m_view.rulesFreshness().revision() },
                { "newestRevision", m_view.rulesFreshness().newestRevision() } });
    m_failed = !answered;
}

// The first check is answered at once. Those that follow it without a pause wait at the store for a change, so that a
// new document is here as soon as it is written.
asio::awaitable<bool> RulesWatcher::check()
{
    const RulesFreshness& rules = m_view.rulesFreshness();
    m_checkBy = Instant::max();
    // A watch returns every document that this host has missed, which may never end over a small link; a read returns
    // the newest alone.
    if (!m_view.rules() || rules.outdated() || m_failed)
        co_return co_await read();
    const Instant begun = m_clock.now();
    const bool follows = begun - m_lastAnswer < maxPauseBetween;
    const Millis wait = follows ? rules.watchDuration() : Millis(1);
    m_checks.add();
    m_polled.onPollBegun();
    const WatchEnd end = co_await m_store.watch(std::string(m_adapter.rulesKey()), rules.knownUpTo() + 1, wait,
        [&](int64_t revision, const std::vector<WatchEvent>& events) {
            PlatformView::Change change;
            for (const auto& event : events) {
                m_bytesRead.add(event.value.value.size());
                if (!event.erased)
                    change.rules |= m_view.applyItem(event.value).rules;
            }
            m_view.recordRulesCheck(begun, m_polled.onPollEnded(newestRevisionOf(events), revision));
            m_changeSink(change);
            return false;
        });
    if (end == WatchEnd::HistoryGone)
        co_return co_await read();
    if (end != WatchEnd::Stopped)
        co_return false;
    m_lastAnswer = m_clock.now();
    co_return true;
}

asio::awaitable<bool> RulesWatcher::read()
{
    const Instant begun = m_clock.now();
    m_checks.add();
    const RangeReply reply = co_await m_store.range(std::string(m_adapter.rulesKey()), false, readTimeout);
    if (!m_view.rules())
        logChange(LogLevel::Info, "rules-read",
            { { "answered", reply.status == StoreStatus::Ok }, { "tookMs", (m_clock.now() - begun).count() } });
    if (reply.status != StoreStatus::Ok)
        co_return false;
    PlatformView::Change change;
    if (!reply.values.empty()) {
        m_bytesRead.add(reply.values.front().value.size());
        change = m_view.applyItem(reply.values.front());
    }
    m_polled.onRevision(reply.revision);
    m_view.recordRulesCheck(begun, reply.revision);
    m_changeSink(change);
    m_lastAnswer = m_clock.now();
    co_return true;
}

}
