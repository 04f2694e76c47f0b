#include "store/HostList.h"

#include "resources/FieldReader.h"

#include <boost/json.hpp>

namespace cumindale {

namespace asio = boost::asio;

namespace {

    constexpr int64_t maxPort = 65535;

    ListedHost readHost(const boost::json::object& object, FieldError& fault)
    {
        FieldReader reader(object, "hosts", fault);
        ListedHost host;
        host.member.name = reader.text("name", true);
        host.member.dataCentre = reader.text("dataCentre", true);
        host.member.address = reader.address("address");
        host.member.peerPort = static_cast<uint16_t>(reader.requiredInteger("peerPort", 1, maxPort));
        host.member.callerPort = static_cast<uint16_t>(reader.requiredInteger("callerPort", 1, maxPort));
        host.member.operatorPort = static_cast<uint16_t>(reader.requiredInteger("operatorPort", 1, maxPort));
        host.leaving = reader.flag("leaving", false);
        return host;
    }

}

HttpHostList::HttpHostList(asio::any_io_executor executor, std::string address, uint16_t port)
    : m_client(std::move(executor), std::move(address), port)
{
}

asio::awaitable<std::optional<std::vector<ListedHost>>> HttpHostList::read(Millis timeout)
{
    HttpCall call;
    call.target = "/hosts";
    const HttpReply reply = co_await m_client.send(call, timeout);
    if (reply.status != 200)
        co_return std::nullopt;
    FieldError fault;
    const auto object = parseObject(reply.body, fault);
    FieldReader reader(object, {}, fault);
    std::vector<ListedHost> hosts;
    for (const auto* host : reader.objects("hosts"))
        hosts.push_back(readHost(*host, fault));
    if (fault.any())
        co_return std::nullopt;
    co_return hosts;
}

}
