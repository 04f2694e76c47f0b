// Serves framed Thrift requests on this host's peer port, using the processor of any Thrift service.
#pragma once

#include "base/Metrics.h"

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <string>

namespace apache::thrift {
class TProcessor;
}

namespace cumindale {

class FrameServer {
public:
    // The processor is called on the executor's thread and must not block.
    FrameServer(boost::asio::any_io_executor, std::string address, uint16_t port,
        std::shared_ptr<apache::thrift::TProcessor>, Counter& bytesSent);
    ~FrameServer();
    uint16_t port() const;
    size_t pendingReplyBytes() const; // of replies that aren't completely written

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

}
