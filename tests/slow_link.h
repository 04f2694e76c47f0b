// The small link of a sending host: forwards connections to their receivers and lets all of them together carry a
// limited number of bytes. Answers aren't delayed.
#pragma once

#include "base/Time.h"
#include "web/Signal.h"
#include "web/Sockets.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cumindale {

class SlowLink {
public:
    SlowLink(boost::asio::io_context& context, const Clock& clock, size_t bytesPerMillisecond)
        : m_context(context)
        , m_clock(clock)
        , m_bytesPerMillisecond(bytesPerMillisecond)
    {
    }

    // Returns the address, "IP:port", that leads to `receiver` over this link.
    std::string addressOf(const std::string& receiver)
    {
        using boost::asio::ip::tcp;
        const auto colon = receiver.rfind(':');
        const tcp::endpoint target(boost::asio::ip::make_address(receiver.substr(0, colon)),
            static_cast<uint16_t>(std::stoul(receiver.substr(colon + 1))));
        auto& acceptor = *m_acceptors.emplace_back(std::make_unique<tcp::acceptor>(m_context, target.protocol()));
        // What the sender has written waits at the sender, as on a real link.
        acceptor.set_option(boost::asio::socket_base::receive_buffer_size(static_cast<int>(chunkBytes)));
        acceptor.bind({ target.address(), 0 });
        acceptor.listen();
        boost::asio::co_spawn(m_context, acceptAll(acceptor, target), boost::asio::detached);
        return target.address().to_string() + ":" + std::to_string(acceptor.local_endpoint().port());
    }

    void closeConnections()
    {
        for (const auto& socket : std::exchange(m_sockets, {})) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    }

private:
    using Socket = boost::asio::ip::tcp::socket;
    static constexpr size_t chunkBytes = 8'192;

    boost::asio::awaitable<void> acceptAll(
        boost::asio::ip::tcp::acceptor& acceptor, boost::asio::ip::tcp::endpoint target)
    {
        for (;;) {
            auto socket = co_await acceptFrom(acceptor);
            if (!socket)
                co_return;
            const auto sender = std::make_shared<Socket>(std::move(*socket));
            const auto receiver = std::make_shared<Socket>(m_context);
            const auto [error]
                = co_await receiver->async_connect(target, boost::asio::as_tuple(boost::asio::use_awaitable));
            if (error)
                continue;
            m_sockets.push_back(sender);
            m_sockets.push_back(receiver);
            boost::asio::co_spawn(m_context, pump(sender, receiver, true), boost::asio::detached);
            boost::asio::co_spawn(m_context, pump(receiver, sender, false), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> pump(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to, bool limited)
    {
        constexpr auto token = boost::asio::as_tuple(boost::asio::use_awaitable);
        std::array<char, chunkBytes> chunk {};
        for (;;) {
            const auto [readError, size] = co_await from->async_read_some(boost::asio::buffer(chunk), token);
            if (readError)
                break;
            if (limited)
                co_await sleepFor(delayOf(size));
            const auto [writeError, written]
                = co_await boost::asio::async_write(*to, boost::asio::buffer(chunk.data(), size), token);
            if (writeError)
                break;
        }
        boost::system::error_code ignored;
        from->close(ignored);
        to->close(ignored);
    }

    Millis delayOf(size_t bytes)
    {
        const int64_t now = m_clock.monotonicMicros();
        m_freeAtMicros = std::max(m_freeAtMicros, now) + static_cast<int64_t>(bytes * 1'000 / m_bytesPerMillisecond);
        return Millis((m_freeAtMicros - now) / 1'000);
    }

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    size_t m_bytesPerMillisecond;
    int64_t m_freeAtMicros = 0; // when all that the link has taken so far has been sent
    std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> m_acceptors;
    std::vector<std::shared_ptr<Socket>> m_sockets; // of all connections, open or not
};

}
