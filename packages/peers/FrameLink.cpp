#include "peers/FrameLink.h"

#include "peers/Frame.h"
#include "web/Sockets.h"

namespace cumindale {

namespace asio = boost::asio;
using apache::thrift::transport::TMemoryBuffer;

FrameLink::FrameLink(asio::any_io_executor executor, std::string address, uint16_t port, Counter& bytesSent)
    : m_executor(std::move(executor))
    , m_address(std::move(address))
    , m_port(port)
    , m_bytesSent(bytesSent)
{
}

asio::awaitable<bool> FrameLink::exchange(TMemoryBuffer& out, TMemoryBuffer& in, Millis timeout)
{
    // The connection is kept only after a complete response.
    auto stream = std::move(m_stream);
    const std::string request = out.getBufferAsString();
    out.resetBuffer();
    if (stream && isReadable(*stream)) // the peer closes connections that have been idle for long
        stream.reset();
    if (!stream) {
        stream = std::make_unique<boost::beast::tcp_stream>(m_executor);
        if (!co_await connectTo(*stream, m_address, m_port, timeout))
            co_return false;
    }
    stream->expires_after(timeout);
    m_bytesSent.add(request.size() + sizeof(uint32_t));
    if (!co_await writeFrame(*stream, request))
        co_return false;
    std::string response;
    if (!co_await readFrame(*stream, response))
        co_return false;
    in.resetBuffer();
    in.write(reinterpret_cast<const uint8_t*>(response.data()), static_cast<uint32_t>(response.size()));
    m_stream = std::move(stream);
    co_return true;
}

}
