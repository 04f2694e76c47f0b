// Sends requests to other hosts that serve them in place of this one, over pooled connections.
//
// A forwarded request is an ordinary HTTP request on a port of its own, with the headers of ForwardHeaders.h, so its
// body and its response pass through unchanged. Everything here runs on the routing thread.
#pragma once

#include "backends/ServerPool.h"
#include "base/Metrics.h"
#include "decisions/ForwardTargets.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cumindale {

class PeerForwarder {
public:
    PeerForwarder(boost::asio::any_io_executor, const Clock&, std::string dataCentre, Millis connectTimeout,
        std::shared_ptr<ResponseMemory>, Metrics&);

    void setTargets(const std::vector<ForwardTarget>&); // from the coordinator
    bool hasTargets() const { return !m_choice.targets().empty(); }
    std::optional<ForwardTarget> choose(std::span<const std::string> excluded) const; // host names
    std::optional<ForwardTarget> targetNamed(std::string_view host) const;
    // The target can't serve requests for now: it is cut off itself, or leaves.
    void avoid(const ForwardTarget&);

    struct Exchange {
        BackendRequest& request;
        std::string_view requestIdHeader; // echoed in the response
        bool idempotent = false;
        Instant deadline {};
        // Is given a function that cancels the exchange while it is in progress, and null afterwards.
        std::function<void(std::function<void()>)> setCancel;
    };
    // No value: the target couldn't be reached, so nothing was sent.
    boost::asio::awaitable<std::optional<ExchangeResult>> exchange(ForwardTarget, Exchange);
    // Asks the target something; counts neither as a forwarded request nor in the choice of targets.
    boost::asio::awaitable<std::optional<ExchangeResult>> query(ForwardTarget, BackendRequest&, Millis timeout);

private:
    std::shared_ptr<ServerPool> poolOf(const ForwardTarget&);

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    Millis m_connectTimeout;
    std::shared_ptr<ResponseMemory> m_responseMemory;
    Counter& m_forwarded;
    Counter& m_forwardsLost;
    ForwardChoice m_choice;
    std::map<std::string, std::shared_ptr<ServerPool>, std::less<>> m_pools; // by host
};

}
