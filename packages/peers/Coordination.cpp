#include "peers/Coordination.h"

#include "peers/Deflate.h"
#include <Coordination.h>

#include "peers/Frame.h"
#include <algorithm>
#include <thrift/protocol/TCompactProtocol.h>

namespace cumindale {

namespace asio = boost::asio;
using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

namespace {

    class Adapter final : public wire::CoordinationIf {
    public:
        explicit Adapter(CoordinationHandler& handler)
            : m_handler(handler)
        {
        }

        void report(wire::HostAdvice& advice, const wire::HostReport& report) override
        {
            advice = m_handler.onReport(report);
        }

        void adopt(const wire::News& news) override { m_handler.onAdopt(news); }

    private:
        CoordinationHandler& m_handler;
    };

}

wire::PackedItems packItems(const std::vector<wire::StoreItem>& items)
{
    wire::ItemList list;
    list.items = items;
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(buffer);
    list.write(&protocol);
    const std::string plain = buffer->getBufferAsString();
    wire::PackedItems packed;
    packed.value = deflated(plain);
    packed.plainBytes = static_cast<int32_t>(plain.size());
    return packed;
}

std::optional<std::vector<wire::StoreItem>> unpackItems(const wire::PackedItems& packed)
{
    if (packed.plainBytes <= 0 || static_cast<uint32_t>(packed.plainBytes) > maxFrameBytes)
        return std::nullopt;
    const auto plain = inflated(packed.value, static_cast<size_t>(packed.plainBytes));
    if (!plain)
        return std::nullopt;
    const auto buffer = std::make_shared<TMemoryBuffer>();
    buffer->write(reinterpret_cast<const uint8_t*>(plain->data()), static_cast<uint32_t>(plain->size()));
    TCompactProtocol protocol(buffer);
    wire::ItemList list;
    try {
        list.read(&protocol);
    } catch (const TException&) {
        return std::nullopt;
    }
    for (auto& item : list.items)
        item.ageMillis
            = static_cast<int32_t>(std::min<int64_t>(int64_t { item.ageMillis } + packed.ageMillis, INT32_MAX));
    return std::move(list.items);
}

struct CoordinationLink::Codec {
    FrameLink link;
    std::shared_ptr<TMemoryBuffer> out = std::make_shared<TMemoryBuffer>();
    std::shared_ptr<TMemoryBuffer> in = std::make_shared<TMemoryBuffer>();
    wire::CoordinationClient client { std::make_shared<TCompactProtocol>(in), std::make_shared<TCompactProtocol>(out) };
};

CoordinationLink::CoordinationLink(
    asio::any_io_executor executor, std::string address, uint16_t port, Counter& bytesSent)
    : m_codec(new Codec { { std::move(executor), std::move(address), port, bytesSent } })
{
}

CoordinationLink::~CoordinationLink() = default;

asio::awaitable<std::optional<wire::HostAdvice>> CoordinationLink::report(wire::HostReport report, Millis timeout)
{
    m_codec->client.send_report(report);
    if (!co_await m_codec->link.exchange(*m_codec->out, *m_codec->in, timeout))
        co_return std::nullopt;
    wire::HostAdvice advice;
    try {
        m_codec->client.recv_report(advice);
    } catch (const TException&) {
        m_codec->link.close();
        co_return std::nullopt;
    }
    co_return advice;
}

asio::awaitable<bool> CoordinationLink::adopt(wire::News news, Millis timeout)
{
    m_codec->client.send_adopt(news);
    co_return co_await m_codec->link.exchange(*m_codec->out, *m_codec->in, timeout);
}

std::unique_ptr<CoordinationLink> makeCoordinationLink(
    asio::any_io_executor executor, const std::string& address, Counter& bytesSent)
{
    const auto colon = address.rfind(':');
    constexpr unsigned long maxPort = 65'535;
    const auto port = colon == std::string::npos ? 0 : std::strtoul(address.c_str() + colon + 1, nullptr, 10);
    if (!port || port > maxPort)
        return nullptr;
    return std::make_unique<CoordinationLink>(
        std::move(executor), address.substr(0, colon), static_cast<uint16_t>(port), bytesSent);
}

std::unique_ptr<FrameServer> makeCoordinationServer(asio::any_io_executor executor, std::string address, uint16_t port,
    CoordinationHandler& handler, Counter& bytesSent)
{
    return std::make_unique<FrameServer>(std::move(executor), std::move(address), port,
        std::make_shared<wire::CoordinationProcessor>(std::make_shared<Adapter>(handler)), bytesSent);
}

}
