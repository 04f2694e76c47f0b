// One connection to one peer. Questions go one at a time; one that gets no answer in time closes the
// connection, so that its late answer can't be taken for that of the next question.
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

    // Sends what is in `out` as one frame, reads the answer's frame into `in`. False: no whole answer in time.
    boost::asio::awaitable<bool> exchange(
        apache::thrift::transport::TMemoryBuffer& out, apache::thrift::transport::TMemoryBuffer& in, Millis timeout);
    void drop() { m_stream.reset(); } // the peer spoke another protocol: nothing more can be expected of it
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
