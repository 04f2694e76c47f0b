#include "peers/PeerServer.h"

#include <Peers.h>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    class Adapter final : public wire::PeersIf {
    public:
        explicit Adapter(PeerHandler& handler)
            : m_handler(handler)
        {
        }

        void beat(wire::Beat& answer, const wire::Beat& ask) override { answer = m_handler.onBeat(ask); }
        void load(const wire::LoadReport& report) override { m_handler.onLoad(report); }
        void table(std::string& answer, const std::string& service) override { answer = m_handler.onTable(service); }
        void roster(std::string& answer) override { answer = m_handler.onRoster(); }
        void resources(std::string& answer) override { answer = m_handler.onResources(); }

    private:
        PeerHandler& m_handler;
    };

}

PeerServer::PeerServer(
    asio::any_io_executor executor, std::string address, uint16_t port, PeerHandler& handler, Counter& bytesSent)
    : m_server(std::move(executor), std::move(address), port,
        std::make_shared<wire::PeersProcessor>(std::make_shared<Adapter>(handler)), bytesSent)
{
}

}
