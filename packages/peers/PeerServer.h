// Serves requests of peers on this host's peer port.
#pragma once

#include "base/Metrics.h"
#include "peers/FrameServer.h"
#include <peers_types.h>

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <string>

namespace cumindale {

// Handles incoming calls. Called on the executor's thread; must not block.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;
    virtual wire::Beat onBeat(const wire::Beat&) = 0;
    virtual void onLoad(const wire::LoadReport&) = 0;
    virtual std::string onTable(const std::string& service) = 0;
    virtual std::string onRoster() = 0;
    virtual std::string onResources() = 0;
};

class PeerServer {
public:
    PeerServer(boost::asio::any_io_executor, std::string address, uint16_t port, PeerHandler&, Counter& bytesSent);

private:
    FrameServer m_server;
};

}
