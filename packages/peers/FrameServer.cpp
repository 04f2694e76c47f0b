#include "peers/FrameServer.h"

#include "peers/Frame.h"
#include "web/Sockets.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <thrift/TProcessor.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace cumindale {

namespace asio = boost::asio;
using apache::thrift::TProcessor;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;
using asio::ip::tcp;

namespace {

    constexpr std::chrono::seconds idleTimeout { 60 };

}

struct FrameServer::Shared {
    tcp::acceptor acceptor;
    std::shared_ptr<TProcessor> processor;
    Counter& bytesSent;
    size_t pendingReplyBytes = 0;

    bool handleRequest(const std::string& request, std::string& reply)
    {
        const auto in = std::make_shared<TMemoryBuffer>();
        const auto out = std::make_shared<TMemoryBuffer>();
        in->write(reinterpret_cast<const uint8_t*>(request.data()), static_cast<uint32_t>(request.size()));
        try {
            processor->process(
                std::make_shared<TCompactProtocol>(in), std::make_shared<TCompactProtocol>(out), nullptr);
        } catch (const apache::thrift::TException&) {
            return false; // not a valid message of this Thrift service
        }
        reply = out->getBufferAsString();
        bytesSent.add(reply.size() + sizeof(uint32_t));
        return true;
    }

    static asio::awaitable<void> serve(std::shared_ptr<Shared> shared, tcp::socket socket)
    {
        boost::beast::tcp_stream stream(std::move(socket));
        std::string request;
        std::string reply;
        for (;;) {
            stream.expires_after(idleTimeout);
            if (!co_await readFrame(stream, request) || !shared->handleRequest(request, reply))
                co_return;
            shared->pendingReplyBytes += reply.size();
            const bool written = co_await writeFrame(stream, reply);
            shared->pendingReplyBytes -= reply.size();
            if (!written)
                co_return;
        }
    }

    static asio::awaitable<void> acceptAll(std::shared_ptr<Shared> shared)
    {
        for (;;) {
            auto socket = co_await acceptFrom(shared->acceptor);
            if (!socket)
                co_return;
            asio::co_spawn(shared->acceptor.get_executor(), serve(shared, std::move(*socket)), asio::detached);
        }
    }
};

FrameServer::FrameServer(asio::any_io_executor executor, std::string address, uint16_t port,
    std::shared_ptr<TProcessor> processor, Counter& bytesSent)
    : m_shared(new Shared {
        tcp::acceptor(executor, { asio::ip::make_address(address), port }), std::move(processor), bytesSent })
{
    asio::co_spawn(executor, Shared::acceptAll(m_shared), asio::detached);
}

FrameServer::~FrameServer()
{
    boost::system::error_code ignored;
    m_shared->acceptor.close(ignored);
}

size_t FrameServer::pendingReplyBytes() const { return m_shared->pendingReplyBytes; }

uint16_t FrameServer::port() const { return m_shared->acceptor.local_endpoint().port(); }

}
