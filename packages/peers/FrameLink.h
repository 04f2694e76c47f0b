// Connection to one peer, with one outstanding request at a time. A request that times out closes the connection, so
// that its late response can't be mistaken for the response to the next request.
#pragma once

#include "base/Metrics.h"
#include "base/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <string>
#include <thrift/transport/TBufferTransports.h>

namespace cumindale {

class FrameLink {
public:
    FrameLink(boost::asio::any_io_executor, std::string address, uint16_t port, Counter& bytesSent);

    // Sends the content of `out` as one frame and reads the response frame into `in`. Returns false if no complete
    // response arrives within the timeout.
    boost::asio::awaitable<bool> exchange(
        apache::thrift::transport::TMemoryBuffer& out, apache::thrift::transport::TMemoryBuffer& in, Millis timeout);
    void close() { m_stream.reset(); } // closes the connection after a response that can't be parsed
    const std::string& address() const { return m_address; }
    uint16_t port() const { return m_port; }

private:
    boost::asio::any_io_executor m_executor;
    std::string m_address;
    uint16_t m_port;
    Counter& m_bytesSent;
    std::unique_ptr<boost::beast::tcp_stream> m_stream;
};

}
