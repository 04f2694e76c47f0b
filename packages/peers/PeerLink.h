// Connection to one peer, with one outstanding request at a time. A request that times out closes the connection, so
// that its late response can't be mistaken for the response to the next request.
#pragma once

#include "base/Metrics.h"
#include "base/Time.h"
#include <peers_types.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

namespace cumindale::wire {
class PeersClient;
}

namespace cumindale {

class PeerLink {
public:
    PeerLink(boost::asio::any_io_executor, std::string address, uint16_t port, Counter& bytesSent);
    ~PeerLink();

    // These calls return nothing, or false, if no complete response arrives within the timeout.
    boost::asio::awaitable<std::optional<wire::Beat>> beat(wire::Beat, Millis timeout);
    boost::asio::awaitable<bool> load(wire::LoadReport, Millis timeout);
    boost::asio::awaitable<std::optional<std::string>> table(std::string service, Millis timeout);
    boost::asio::awaitable<std::optional<std::string>> roster(Millis timeout);
    boost::asio::awaitable<std::optional<std::string>> resources(Millis timeout);

private:
    struct Codec;
    template <typename Receive>
    boost::asio::awaitable<bool> call(Millis timeout, Receive); // sends the request and decodes the response
    boost::asio::awaitable<std::optional<std::string>> callForText(
        Millis timeout, void (wire::PeersClient::*receive)(std::string&));

    std::unique_ptr<Codec> m_codec;
};

}
