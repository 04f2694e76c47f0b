// One connection to one peer. Questions go one at a time; one that gets no answer in time closes the
// connection, so that its late answer can't be taken for that of the next question.
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

    // Nothing: no whole answer within the time.
    boost::asio::awaitable<std::optional<wire::Beat>> beat(wire::Beat, Millis timeout);
    boost::asio::awaitable<bool> load(wire::LoadReport, Millis timeout);
    boost::asio::awaitable<std::optional<std::string>> table(std::string service, Millis timeout);
    boost::asio::awaitable<std::optional<std::string>> roster(Millis timeout);
    boost::asio::awaitable<std::optional<std::string>> resources(Millis timeout);

private:
    struct Codec;
    template <typename Receive>
    boost::asio::awaitable<bool> ask(Millis timeout, Receive); // exchange, then take the answer
    boost::asio::awaitable<std::optional<std::string>> askText(
        Millis timeout, void (wire::PeersClient::*receive)(std::string&));

    std::unique_ptr<Codec> m_codec;
};

}
