// Client and server of the Coordination service: hosts report to the coordinator and receive advice from it. See
// coordination.thrift.
#pragma once

#include "peers/FrameLink.h"
#include "peers/FrameServer.h"
#include <coordination_types.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cumindale::wire {
class CoordinationClient;
}

namespace cumindale {

// Deflates the items of a message, so that a batch of servers' entries takes a fifth of its bytes. No value: they can't
// be read.
wire::PackedItems packItems(const std::vector<wire::StoreItem>&);
std::optional<std::vector<wire::StoreItem>> unpackItems(const wire::PackedItems&);

class CoordinationLink {
public:
    CoordinationLink(boost::asio::any_io_executor, std::string address, uint16_t port, Counter& bytesSent);
    ~CoordinationLink();

    boost::asio::awaitable<std::optional<wire::HostAdvice>> report(wire::HostReport, Millis timeout);
    boost::asio::awaitable<bool> adopt(wire::News, Millis timeout);

private:
    struct Codec;
    std::unique_ptr<Codec> m_codec;
};

// Creates a link to `address`, given as "IP:port"; null if the address is invalid.
std::unique_ptr<CoordinationLink> makeCoordinationLink(
    boost::asio::any_io_executor, const std::string& address, Counter& bytesSent);

// Handles incoming calls. Called on the executor's thread; must not block.
class CoordinationHandler {
public:
    virtual ~CoordinationHandler() = default;
    virtual wire::HostAdvice onReport(const wire::HostReport&) = 0;
    virtual void onAdopt(const wire::News&) = 0;
};

std::unique_ptr<FrameServer> makeCoordinationServer(
    boost::asio::any_io_executor, std::string address, uint16_t port, CoordinationHandler&, Counter& bytesSent);

}
