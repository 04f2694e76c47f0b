#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

    sockaddr_in loopback(uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    // Word `index` of a start line.
    std::string_view wordOf(std::string_view line, unsigned index)
    {
        for (; index; --index) {
            const auto space = line.find(' ');
            if (space == std::string_view::npos)
                return {};
            line.remove_prefix(space + 1);
        }
        return line.substr(0, line.find(' '));
    }

}

// --- Messages

std::string_view HttpMessage::header(std::string_view name) const
{
    for (const auto& [key, value] : headers) {
        if (key.size() == name.size() && !strncasecmp(key.data(), name.data(), name.size()))
            return value;
    }
    return {};
}

std::string_view HttpMessage::method() const { return wordOf(startLine, 0); }

std::string_view HttpMessage::target() const { return wordOf(startLine, 1); }

int HttpMessage::status() const { return std::atoi(std::string(wordOf(startLine, 1)).c_str()); }

std::string HttpMessage::text() const
{
    std::string bytes = startLine + "\r\n";
    for (const auto& [key, value] : headers)
        bytes.append(key).append(": ").append(value).append("\r\n");
    bytes.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    return bytes;
}

HttpMessage makeResponse(int status, std::string body)
{
    HttpMessage message;
    message.startLine = "HTTP/1.1 " + std::to_string(status) + " Status";
    message.body = std::move(body);
    return message;
}

HttpMessage makeRequest(std::string_view method, std::string_view target, std::string body)
{
    HttpMessage message;
    message.startLine.append(method).append(" ").append(target).append(" HTTP/1.1");
    message.body = std::move(body);
    return message;
}

// --- Connections

HttpConnection::~HttpConnection() { ::close(m_socket); }

bool HttpConnection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
}

bool HttpConnection::hasInput(int timeoutMillis)
{
    pollfd entry { m_socket, POLLIN, 0 };
    return !m_input.empty() || ::poll(&entry, 1, timeoutMillis) > 0;
}

void HttpConnection::setReceiveBuffer(int bytes) const
{
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

bool HttpConnection::receiveMore(int timeoutMillis, size_t maxBytes)
{
    pollfd entry { m_socket, POLLIN, 0 };
    if (::poll(&entry, 1, timeoutMillis) <= 0)
        return false;
    std::string chunk(std::min(maxBytes, chunkBytes), '\0');
    const ssize_t received = ::recv(m_socket, chunk.data(), chunk.size(), 0);
    if (received <= 0)
        return false;
    m_bytesRead += static_cast<size_t>(received);
    m_input.append(chunk, 0, static_cast<size_t>(received));
    if (chunkPauseMillis)
        std::this_thread::sleep_for(std::chrono::milliseconds(chunkPauseMillis));
    return true;
}

std::optional<HttpMessage> HttpConnection::read(int timeoutMillis)
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    size_t end = 0;
    while ((end = m_input.find(headEnd)) == std::string::npos) {
        if (!receiveMore(timeoutMillis, chunkBytes))
            return std::nullopt;
    }
    HttpMessage message;
    std::string_view head = std::string_view(m_input).substr(0, end);
    while (!head.empty()) {
        const auto lineEnd = std::min(head.find("\r\n"), head.size());
        const std::string_view line = head.substr(0, lineEnd);
        head.remove_prefix(std::min(head.size(), lineEnd + 2));
        const auto colon = line.find(':');
        if (message.startLine.empty()) {
            message.startLine = line;
        } else if (colon != std::string_view::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(
                line.substr(0, colon), value == std::string_view::npos ? "" : line.substr(value));
        }
    }
    m_input.erase(0, end + headEnd.size());
    const auto length = static_cast<size_t>(std::atoll(std::string(message.header("Content-Length")).c_str()));
    while (m_input.size() < length) {
        if (!receiveMore(timeoutMillis, length - m_input.size()))
            return std::nullopt;
    }
    message.body = m_input.substr(0, length);
    m_input.erase(0, length);
    return message;
}

// --- Listening

Listener::Listener()
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    constexpr int backlog = 512;
    if (::bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) || ::listen(m_socket, backlog)
        || ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size))
        throw std::runtime_error("no free port on 127.0.0.1");
    m_port = ntohs(address.sin_port);
}

Listener::~Listener() { ::close(m_socket); }

int Listener::accept() const
{
    const int accepted = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
    const int yes = 1;
    if (accepted >= 0)
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return accepted;
}

void Listener::close() { ::shutdown(m_socket, SHUT_RDWR); }

int connectTo(uint16_t port, int receiveBufferBytes)
{
    const int opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(opened, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    // Before connecting, since the window is agreed on then.
    if (receiveBufferBytes)
        ::setsockopt(opened, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    const sockaddr_in address = loopback(port);
    if (!::connect(opened, reinterpret_cast<const sockaddr*>(&address), sizeof address))
        return opened;
    ::close(opened);
    return -1;
}

uint16_t freePort()
{
    const Listener listener;
    return listener.port();
}

}
