#include "Case.h"

#include <cstdlib>
#include <thread>

namespace review {

std::optional<CaseArguments> argumentsOf(int argc, char** argv)
{
    constexpr int expected = 4;
    if (argc != expected)
        return std::nullopt;
    const char* trouble = std::getenv("TROUBLE");
    return CaseArguments { argv[1], argv[2], argv[3], !trouble || std::string_view(trouble) != "0" };
}

HttpMessage messageOf(const Request& request)
{
    HttpMessage message = makeRequest(request.method, request.target, request.body);
    message.headers.emplace_back("Host", deskHost);
    message.headers.emplace_back("X-Request-Id", request.id);
    message.headers.emplace_back("X-Request-Deadline-Ms", std::to_string(request.timeLeftMillis));
    message.headers.emplace_back("X-Shard-Key", std::to_string(request.key));
    return message;
}

int Client::ask(const Request& request)
{
    // A connection that the host has closed meanwhile carries no request.
    if (m_connection && m_connection->hasInput(0))
        m_connection.reset();
    if (!m_connection) {
        const int socket = connectTo(m_port);
        if (socket < 0)
            return 0;
        m_connection = std::make_unique<HttpConnection>(socket);
    }
    m_record.write("sent " + request.id + " " + request.method + " key " + std::to_string(request.key));
    const auto response
        = m_connection->write(messageOf(request).text()) ? m_connection->read(request.timeLeftMillis) : std::nullopt;
    const int status = response ? response->status() : 0;
    m_record.write("answered " + request.id + " " + std::to_string(status));
    if (!response || response->header("Connection") == "close")
        m_connection.reset();
    return status;
}

void sleepMillis(int64_t millis) { std::this_thread::sleep_for(std::chrono::milliseconds(millis)); }

std::string deskConfig(int64_t version)
{
    return "{\"version\":" + std::to_string(version) + R"(,"routes":[
{"name":"lookup","host":"desk.example","path_prefix":"/lookup/","route_type":"safe","timeout_s":1.5,
 "target_latency_s":0.4,"priority":2,"service":"desk","max_attempts":2},
{"name":"claim","host":"desk.example","path_prefix":"/claim/","route_type":"unsafe","timeout_s":1.5,
 "target_latency_s":0.5,"priority":1,"service":"desk","max_attempts":2}],
"services":[{"name":"desk","health_path":"/health","max_connections":120,"sharded":true}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}})";
}

}
