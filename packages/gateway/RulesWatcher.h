// Watches the operators' document alone, while nothing else confirms that this host has the newest one.
//
// The document usually comes with all other changes, from the coordinator or by this host's own watch of the store.
// When the coordinator is lost, hosts may first have to read the entries of all servers, which takes many seconds with
// thousands of them. The document is one item, and callers get wrong answers without it, so it doesn't wait for them.
#pragma once

#include "base/Metrics.h"
#include "decisions/PolledChanges.h"
#include "gateway/PlatformView.h"
#include "store/Store.h"
#include "web/Signal.h"

#include <functional>

namespace cumindale {

class RulesWatcher {
public:
    using ChangeSink = std::function<void(const PlatformView::Change&)>;

    RulesWatcher(boost::asio::any_io_executor, const Clock&, const PlatformAdapter&, Store&, PlatformView&, Metrics&,
        ChangeSink);
    boost::asio::awaitable<void> run(); // never returns
    // This host has heard of a newer document, whose message usually arrives within `messageTime` unless it is lost.
    void expectDocument(Millis messageTime);
    void setDocumentWait(Millis longest) { m_longestWait = longest; } // as in ConfirmationTiming
    void checkSoon(); // nothing confirms the document any more

private:
    Millis timeToCheck() const; // 0: at once
    boost::asio::awaitable<bool> check(); // false: the store has not answered
    boost::asio::awaitable<bool> read();
    void recordCheck(bool answered);

    const Clock& m_clock;
    const PlatformAdapter& m_adapter;
    Store& m_store;
    PlatformView& m_view;
    ChangeSink m_changeSink;
    Counter& m_checks;
    Counter& m_failures;
    Counter& m_bytesRead;
    Signal m_wakeUp;
    Millis m_longestWait { 0 };
    PolledChanges m_polled; // by watches of the document
    Instant m_messageUntil {}; // the message with a newer document may still arrive
    double m_phase; // of this host's checks, see RulesFreshness
    Instant m_checkBy = Instant::max(); // since checkSoon() was called
    Instant m_lastAnswer {}; // of the store to a check
    bool m_failed = false; // the store has not answered the last check
};

}
