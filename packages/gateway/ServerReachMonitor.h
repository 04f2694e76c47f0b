// Finds out whether this host has lost its network path to the backend servers or to some of them, by opening
// connections to some of them.
//
// decisions/ServerReach.h and decisions/ServerPaths.h describe the evidence. No connection is opened for this while the
// host's own requests show that it reaches the servers. Everything here runs on the routing thread.
#pragma once

#include "base/Metrics.h"
#include "decisions/ServerPaths.h"
#include "decisions/ServerReach.h"
#include "gateway/UpstreamRegistry.h"
#include "web/Signal.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace cumindale {

class ServerReachMonitor {
public:
    using ChangeHandler = std::function<void(bool cutOff)>;

    ServerReachMonitor(boost::asio::any_io_executor, const Clock&, const UpstreamRegistry&, Metrics&,
        Millis connectTimeout, ChangeHandler);
    void start();

    // --- Events
    void recordConnect(Upstream&, bool connected); // the outcome of a new connection
    void recordAnswer(const Upstream&);

    // Requests to a server that were forwarded because this host doesn't reach it.
    bool startTrial(const Upstream&); // false: no request may be tried through another host now
    void trialEnded(const Upstream& server) { m_paths.trialEnded(server.entry.id); }
    void recordAnswerElsewhere(std::string_view server);
    void recordUnreachableElsewhere(const Upstream&); // by no host that was asked

    void checkIfUnknown(); // for a host that has had no answer from servers for a while

    // --- State
    bool cutOff() const { return m_reach.cutOff(); }
    Instant lastAnswer() const { return m_reach.lastAnswer(); } // from any server
    // Whether to send to this server from here. `mayTry`: also to one of which nothing is known since the host was cut
    // off. False also on a host that isn't cut off, for a server that it reaches through other hosts only.
    bool sendsDirectly(const Upstream&, bool mayTry) const;
    bool reachedThroughOthers(const Upstream&) const; // false while this host is cut off
    // After a failed connection: checks whether the host is cut off, unless connections fail to one server only or a
    // check has just found a path.
    boost::asio::awaitable<bool> confirmCutOff();
    // The same, but checks also after the first failed connection.
    boost::asio::awaitable<bool> checkCutOff();

private:
    using UpstreamPointer = std::shared_ptr<Upstream>;
    struct Check;

    std::vector<UpstreamPointer> probeTargets(size_t count, std::span<const ProbeOutcome> known = {}) const;
    size_t probeableServers() const;
    boost::asio::awaitable<void> check();
    boost::asio::awaitable<void> probeAll(std::vector<UpstreamPointer>, std::shared_ptr<Check>);
    boost::asio::awaitable<void> probe(UpstreamPointer, std::shared_ptr<Check>);
    boost::asio::awaitable<void> probeNext(); // while cut off
    boost::asio::awaitable<void> probeUnreached(); // while not cut off
    void forgetUnused();
    boost::asio::awaitable<void> run();
    bool requestsAreStuck(Instant now) const;
    void onEvidence(bool wasCutOff);

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    const UpstreamRegistry& m_servers;
    Millis m_connectTimeout;
    ChangeHandler m_onChange;
    Counter& m_connectsFailed;
    Counter& m_cutOffs;
    Counter& m_isCutOff; // gauge
    Counter& m_unreached;
    ServerReach m_reach;
    ServerPaths m_paths; // while not cut off
    bool m_checking = false;
    Signal m_checked;
    Signal m_changed; // of m_reach
};

}
