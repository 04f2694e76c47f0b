#include "peers/PeerLink.h"

#include "peers/Frame.h"
#include "web/Sockets.h"
#include <Peers.h>

#include <boost/beast/core/tcp_stream.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace cumindale {

namespace asio = boost::asio;
using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

struct PeerLink::Codec {
    asio::any_io_executor executor;
    std::string address;
    uint16_t port;
    Counter& bytesSent;
    std::shared_ptr<TMemoryBuffer> out = std::make_shared<TMemoryBuffer>();
    std::shared_ptr<TMemoryBuffer> in = std::make_shared<TMemoryBuffer>();
    wire::PeersClient client { std::make_shared<TCompactProtocol>(in), std::make_shared<TCompactProtocol>(out) };
    std::unique_ptr<boost::beast::tcp_stream> stream;
};

PeerLink::PeerLink(asio::any_io_executor executor, std::string address, uint16_t port, Counter& bytesSent)
    : m_codec(new Codec { std::move(executor), std::move(address), port, bytesSent })
{
}

PeerLink::~PeerLink() = default;

asio::awaitable<bool> PeerLink::exchange(Millis timeout)
{
    // The connection is put back only after a whole answer.
    auto stream = std::move(m_codec->stream);
    const std::string question = m_codec->out->getBufferAsString();
    m_codec->out->resetBuffer();
    if (!stream) {
        stream = std::make_unique<boost::beast::tcp_stream>(m_codec->executor);
        if (!co_await connectTo(*stream, m_codec->address, m_codec->port, timeout))
            co_return false;
    }
    stream->expires_after(timeout);
    m_codec->bytesSent.add(question.size() + sizeof(uint32_t));
    if (!co_await writeFrame(*stream, question))
        co_return false;
    std::string answer;
    if (!co_await readFrame(*stream, answer))
        co_return false;
    m_codec->in->resetBuffer();
    m_codec->in->write(reinterpret_cast<const uint8_t*>(answer.data()), static_cast<uint32_t>(answer.size()));
    m_codec->stream = std::move(stream);
    co_return true;
}

template <typename Receive> asio::awaitable<bool> PeerLink::ask(Millis timeout, Receive receive)
{
    if (!co_await exchange(timeout))
        co_return false;
    try {
        receive();
        co_return true;
    } catch (const TException&) {
        m_codec->stream.reset(); // not our protocol: nothing more can be expected of it
    }
    co_return false;
}

asio::awaitable<std::optional<std::string>> PeerLink::askText(
    Millis timeout, void (wire::PeersClient::*receive)(std::string&))
{
    std::string answer;
    if (!co_await ask(timeout, [&] { (m_codec->client.*receive)(answer); }))
        co_return std::nullopt;
    co_return answer;
}

asio::awaitable<std::optional<wire::Beat>> PeerLink::beat(wire::Beat question, Millis timeout)
{
    m_codec->client.send_beat(question);
    wire::Beat answer;
    if (!co_await ask(timeout, [&] { m_codec->client.recv_beat(answer); }))
        co_return std::nullopt;
    co_return answer;
}

asio::awaitable<bool> PeerLink::load(wire::LoadReport report, Millis timeout)
{
    m_codec->client.send_load(report);
    co_return co_await ask(timeout, [&] { m_codec->client.recv_load(); });
}

asio::awaitable<std::optional<std::string>> PeerLink::table(std::string service, Millis timeout)
{
    m_codec->client.send_table(service);
    co_return co_await askText(timeout, &wire::PeersClient::recv_table);
}

asio::awaitable<std::optional<std::string>> PeerLink::roster(Millis timeout)
{
    m_codec->client.send_roster();
    co_return co_await askText(timeout, &wire::PeersClient::recv_roster);
}

asio::awaitable<std::optional<std::string>> PeerLink::resources(Millis timeout)
{
    m_codec->client.send_resources();
    co_return co_await askText(timeout, &wire::PeersClient::recv_resources);
}

}
