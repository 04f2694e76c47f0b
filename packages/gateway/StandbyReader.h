// Asks the standbys of the last coordinator for changes of the store, while this host has no coordinator and doesn't
// watch the store. Where no standby knows recent changes, it asks two of the other hosts that the coordinator has
// named, in turn.
//
// Load pattern: a thousand hosts lose their coordinator for many seconds, while hundreds of servers announce that they
// leave. The store's link doesn't carry the servers' entries to each host. The standbys watch all of them, and each
// host asks one standby as often as it reported to the coordinator. The store may turn both standbys away, or their
// data centre may be lost, while other hosts reach it.
#pragma once

#include "base/Metrics.h"
#include "base/Time.h"
#include "peers/Coordination.h"
#include "web/Signal.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cumindale {

// What an answer is worth, the best first.
enum class StandbyAnswer : uint8_t {
    Recent, // this host knows all changes of the store now
    Incomplete, // the answer leaves out some of what this host lacks
    StoreSilent, // the standby doesn't know recent changes itself
    None, // it hasn't answered
};

class StandbyReader {
public:
    using ReportSource = std::function<wire::HostReport()>;
    using AnswerSink = std::function<StandbyAnswer(const wire::HostAdvice&, Instant askedAt)>; // takes an answer

    // `ownAddress`: "IP:port" of this host, which doesn't ask itself.
    StandbyReader(
        boost::asio::any_io_executor, const Clock&, std::string ownAddress, Metrics&, ReportSource, AnswerSink);
    boost::asio::awaitable<void> run(); // never returns
    // `checksum`: 0 leaves the list as it is.
    void setStandbys(
        int64_t checksum, const std::vector<std::string>& standbys, const std::vector<std::string>& others);
    int64_t standbysChecksum() const { return m_checksum; } // 0: no list is known
    bool start(Millis interval); // between two questions; false: it asks already
    void stop();

private:
    // Their addresses, in the order of the questions. The host that has told all recent changes last comes first.
    std::vector<std::string> standbysToAsk() const;
    std::vector<std::string> othersToAsk() const;
    // The best answer. Where hosts were asked by nobody before, they are asked again once they have resumed their
    // watch.
    boost::asio::awaitable<StandbyAnswer> ask(std::vector<std::string> addresses);
    // Until one is Recent. Leaves in `addresses` the hosts that have answered.
    boost::asio::awaitable<StandbyAnswer> askEach(std::vector<std::string>& addresses);
    boost::asio::awaitable<StandbyAnswer> askOne(std::string address);
    void recordAnswer(StandbyAnswer);

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    std::string m_ownAddress;
    ReportSource m_makeReport;
    AnswerSink m_answerSink;
    Counter& m_bytesSent;
    Counter& m_questions;
    Counter& m_unanswered;
    Signal m_changed; // m_active
    std::vector<std::string> m_standbys; // addresses
    std::vector<std::string> m_others; // addresses
    int64_t m_checksum = 0;
    size_t m_next = 0; // of m_standbys and of m_others, modulo their number
    std::string m_recent; // address of the host that has told all recent changes last
    std::unique_ptr<CoordinationLink> m_link;
    std::string m_linkAddress;
    Millis m_interval = maxIdleWait;
    bool m_active = false;
    bool m_isSpread = false; // the time of the first question was chosen at random
    bool m_answered = true; // the last question, with all recent changes
    static constexpr Millis maxIdleWait { 2'000 };
};

}
