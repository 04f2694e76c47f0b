#include "peers/Coordination.h"

#include <Coordination.h>

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
