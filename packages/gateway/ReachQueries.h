// Asks other hosts whether they reach a backend server that accepts no connection of this host.
//
// A server that has crashed accepts no connection of any host. One that only this host has lost the path to looks the
// same from here, so what this host sees of it is no evidence until other hosts see it, too. A query is a request
// without a body at the port for forwarded requests. The host that is asked opens one new connection to the server and
// tells the outcome. What the hosts tell is remembered (decisions/TargetPaths.h). Everything here runs on the routing
// thread.
#pragma once

#include "callers/CallerServer.h"
#include "decisions/TargetPaths.h"
#include "gateway/PeerForwarder.h"
#include "web/Signal.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

enum class Reached : uint8_t { Unknown, No, Yes };

std::string_view queriedServer(const CallerHeader&); // id; empty: the request is no query
CallerResponse reachResponse(Reached);

class ReachQueries {
public:
    using ReachedHandler = std::function<void(std::string_view server)>; // called when a host says that it reaches it

    // `timeout`: of one connection.
    ReachQueries(boost::asio::any_io_executor, const Clock&, PeerForwarder&, Millis timeout, ReachedHandler);
    void start(); // asks hosts without a path again

    // Asks up to three hosts at a time. Yes as soon as one of them reaches the server; Unknown: none has told.
    boost::asio::awaitable<Reached> ask(std::string server);

    void recordLacking(const TargetPath& path) { m_paths.lacks(path, m_clock.now()); } // says a forwarded request
    std::vector<std::string> hostsWithout(std::string_view server) const { return m_paths.hostsWithout(server); }

private:
    struct Poll;

    boost::asio::awaitable<void> askOne(ForwardTarget, std::shared_ptr<Poll>);
    boost::asio::awaitable<Reached> query(ForwardTarget, std::string server);
    boost::asio::awaitable<void> run();

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    PeerForwarder& m_forwarder;
    Millis m_timeout;
    ReachedHandler m_onReached;
    TargetPaths m_paths;
};

}
