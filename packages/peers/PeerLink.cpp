#include "peers/PeerLink.h"

#include "peers/FrameLink.h"
#include <Peers.h>

#include <thrift/protocol/TCompactProtocol.h>

namespace cumindale {

namespace asio = boost::asio;
using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

struct PeerLink::Codec {
    FrameLink link;
    std::shared_ptr<TMemoryBuffer> out = std::make_shared<TMemoryBuffer>();
    std::shared_ptr<TMemoryBuffer> in = std::make_shared<TMemoryBuffer>();
    wire::PeersClient client { std::make_shared<TCompactProtocol>(in), std::make_shared<TCompactProtocol>(out) };
};

PeerLink::PeerLink(asio::any_io_executor executor, std::string address, uint16_t port, Counter& bytesSent)
    : m_codec(new Codec { { std::move(executor), std::move(address), port, bytesSent } })
{
}

PeerLink::~PeerLink() = default;

template <typename Receive> asio::awaitable<bool> PeerLink::call(Millis timeout, Receive receive)
{
    if (!co_await m_codec->link.exchange(*m_codec->out, *m_codec->in, timeout))
        co_return false;
    try {
        receive();
        co_return true;
    } catch (const TException&) {
        m_codec->link.close();
    }
    co_return false;
}

asio::awaitable<std::optional<std::string>> PeerLink::callForText(
    Millis timeout, void (wire::PeersClient::*receive)(std::string&))
{
    std::string response;
    if (!co_await call(timeout, [&] { (m_codec->client.*receive)(response); }))
        co_return std::nullopt;
    co_return response;
}

asio::awaitable<std::optional<wire::Beat>> PeerLink::beat(wire::Beat request, Millis timeout)
{
    m_codec->client.send_beat(request);
    wire::Beat response;
    if (!co_await call(timeout, [&] { m_codec->client.recv_beat(response); }))
        co_return std::nullopt;
    co_return response;
}

asio::awaitable<bool> PeerLink::load(wire::LoadReport report, Millis timeout)
{
    m_codec->client.send_load(report);
    co_return co_await call(timeout, [&] { m_codec->client.recv_load(); });
}

asio::awaitable<std::optional<std::string>> PeerLink::table(std::string service, Millis timeout)
{
    m_codec->client.send_table(service);
    co_return co_await callForText(timeout, &wire::PeersClient::recv_table);
}

asio::awaitable<std::optional<std::string>> PeerLink::roster(Millis timeout)
{
    m_codec->client.send_roster();
    co_return co_await callForText(timeout, &wire::PeersClient::recv_roster);
}

asio::awaitable<std::optional<std::string>> PeerLink::resources(Millis timeout)
{
    m_codec->client.send_resources();
    co_return co_await callForText(timeout, &wire::PeersClient::recv_resources);
}

}
