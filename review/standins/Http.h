// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review. Each message is read and written byte for
// byte, so that a stand-in can also send what a faulty peer would send.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

struct HttpMessage {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string_view header(std::string_view name) const; // empty if absent
    std::string_view method() const; // of a request
    std::string_view target() const; // of a request
    int status() const; // of a response
    std::string text() const; // as sent, with a Content-Length
};

HttpMessage makeResponse(int status, std::string body = {});
HttpMessage makeRequest(std::string_view method, std::string_view target, std::string body = {});

// One end of a connection; closes its socket on destruction.
class HttpConnection {
public:
    explicit HttpConnection(int socket)
        : m_socket(socket)
    {
    }
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    bool write(std::string_view bytes);
    // Reads one message. No value: the connection ended before the message was complete, or the time is over.
    std::optional<HttpMessage> read(int timeoutMillis);
    bool hasInput(int timeoutMillis); // also true at the end of the stream
    size_t bytesRead() const { return m_bytesRead; } // of all messages, including an incomplete one
    void setReceiveBuffer(int bytes) const;

private:
    bool receiveMore(int timeoutMillis, size_t maxBytes);

    int m_socket;
    std::string m_input;
    size_t m_bytesRead = 0;

public:
    // Most bytes to take from the socket at a time, and the pause after each; for a peer that reads slowly.
    size_t chunkBytes = 65'536;
    int chunkPauseMillis = 0;
};

class Listener {
public:
    Listener(); // at a free port of 127.0.0.1
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    uint16_t port() const { return m_port; }
    int accept() const; // socket of the next connection; -1: closed
    void close();

private:
    int m_socket;
    uint16_t m_port = 0;
};

int connectTo(uint16_t port, int receiveBufferBytes = 0); // -1: refused
uint16_t freePort();

}
