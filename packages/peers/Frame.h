// Thrift's framed transport over Asio: a 4-byte big-endian length followed by the message.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <string>

namespace cumindale {

constexpr uint32_t maxFrameBytes = 16'000'000;

// readFrame() and writeFrame() return false when the connection fails; readFrame() also when the frame is too large.
template <typename Stream> boost::asio::awaitable<bool> readFrame(Stream& stream, std::string& frame)
{
    constexpr auto token = boost::asio::as_tuple(boost::asio::use_awaitable);
    uint32_t size = 0;
    const auto [headError, head]
        = co_await boost::asio::async_read(stream, boost::asio::buffer(&size, sizeof size), token);
    size = boost::endian::big_to_native(size);
    if (headError || size > maxFrameBytes)
        co_return false;
    frame.resize(size);
    const auto [bodyError, body] = co_await boost::asio::async_read(stream, boost::asio::buffer(frame), token);
    co_return !bodyError;
}

template <typename Stream> boost::asio::awaitable<bool> writeFrame(Stream& stream, const std::string& frame)
{
    constexpr auto token = boost::asio::as_tuple(boost::asio::use_awaitable);
    const uint32_t size = boost::endian::native_to_big(static_cast<uint32_t>(frame.size()));
    const std::array<boost::asio::const_buffer, 2> buffers { boost::asio::buffer(&size, sizeof size),
        boost::asio::buffer(frame) };
    const auto [error, written] = co_await boost::asio::async_write(stream, buffers, token);
    co_return !error;
}

}
