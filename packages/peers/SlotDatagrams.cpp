#include "peers/SlotDatagrams.h"

#include "base/Log.h"
#include <slots_types.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/udp.hpp>
#include <charconv>
#include <map>
#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace cumindale {

namespace asio = boost::asio;
using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using asio::ip::udp;

// --- Encoding

namespace {

    constexpr Millis maxDuration { 24 * 3'600'000 };
    constexpr unsigned maxRank = 1'000;

    int32_t durationToWire(Millis duration)
    {
        return static_cast<int32_t>(std::clamp(duration, -maxDuration, maxDuration).count());
    }

    wire::SlotAsk toWire(const SlotAsk& ask)
    {
        wire::SlotAsk out;
        out.ticket = static_cast<int64_t>(ask.ticket);
        out.pool = ask.pool;
        out.priority = static_cast<int8_t>(ask.priority);
        out.rank = static_cast<int32_t>(std::min(ask.rank, maxRank));
        out.ageMillis = durationToWire(ask.age);
        out.targetLeftMillis = durationToWire(ask.targetLeft);
        out.deadlineLeftMillis = durationToWire(ask.deadlineLeft);
        out.identity = static_cast<int64_t>(ask.identity);
        if (!ask.preferred.empty())
            out.__set_preferred(ask.preferred);
        if (!ask.excluded.empty())
            out.__set_excluded(ask.excluded);
        return out;
    }

    wire::SlotEnd toWire(const SlotEnd& end)
    {
        wire::SlotEnd out;
        out.ticket = static_cast<int64_t>(end.ticket);
        out.pool = end.pool;
        out.tookMillis = durationToWire(end.took);
        out.refused = end.refused;
        return out;
    }

    wire::HeldSlot toWire(const HeldSlot& slot)
    {
        wire::HeldSlot out;
        out.ticket = static_cast<int64_t>(slot.ticket);
        out.pool = slot.pool;
        out.server = slot.server;
        out.deadlineLeftMillis = durationToWire(slot.deadlineLeft);
        return out;
    }

    wire::SlotReply toWire(const SlotReply& reply)
    {
        wire::SlotReply out;
        out.ticket = static_cast<int64_t>(reply.ticket);
        out.kind = static_cast<int8_t>(reply.kind);
        if (!reply.server.empty())
            out.__set_server(reply.server);
        out.waitMillis = durationToWire(reply.wait);
        return out;
    }

    wire::SlotMessage toWire(const SlotMessage& message)
    {
        wire::SlotMessage out;
        out.sender = message.sender;
        out.dataCentre = message.dataCentre;
        out.incarnation = static_cast<int64_t>(message.incarnation);
        for (const auto& ask : message.asks)
            out.asks.push_back(toWire(ask));
        for (const auto& end : message.ends)
            out.ends.push_back(toWire(end));
        for (const auto& slot : message.held.value_or(std::vector<HeldSlot> {}))
            out.held.push_back(toWire(slot));
        for (const auto& reply : message.replies)
            out.replies.push_back(toWire(reply));
        out.__isset.asks = !out.asks.empty();
        out.__isset.ends = !out.ends.empty();
        out.__isset.held = message.held.has_value();
        out.__isset.replies = !out.replies.empty();
        return out;
    }

    std::string encoded(const wire::SlotMessage& message)
    {
        const auto buffer = std::make_shared<TMemoryBuffer>();
        TCompactProtocolT<TMemoryBuffer> protocol(buffer);
        message.write(&protocol);
        return buffer->getBufferAsString();
    }

    wire::SlotMessage emptyFrom(const wire::SlotMessage& message)
    {
        wire::SlotMessage empty;
        empty.sender = message.sender;
        empty.dataCentre = message.dataCentre;
        empty.incarnation = message.incarnation;
        return empty;
    }

    size_t partCount(const wire::SlotMessage& message)
    {
        return message.asks.size() + message.ends.size() + message.replies.size() + message.__isset.held;
    }

    // Moves `count` of the last elements.
    template <typename Element> void moveLast(std::vector<Element>& from, size_t count, std::vector<Element>& to)
    {
        const auto first = from.end() - static_cast<std::ptrdiff_t>(count);
        to.assign(std::make_move_iterator(first), std::make_move_iterator(from.end()));
        from.erase(first, from.end());
    }

    void updatePresence(wire::SlotMessage& message)
    {
        message.__isset.asks = !message.asks.empty();
        message.__isset.ends = !message.ends.empty();
        message.__isset.replies = !message.replies.empty();
    }

    // Divides a message of at least two parts. The slots held, if stated, remain alone.
    wire::SlotMessage splitOff(wire::SlotMessage& message)
    {
        wire::SlotMessage rest = emptyFrom(message);
        if (message.__isset.held) {
            rest.asks = std::exchange(message.asks, {});
            rest.ends = std::exchange(message.ends, {});
            rest.replies = std::exchange(message.replies, {});
        } else {
            size_t toMove = partCount(message) / 2;
            const auto moveSome = [&](auto& from, auto& to) {
                const size_t count = std::min(toMove, from.size());
                moveLast(from, count, to);
                toMove -= count;
            };
            moveSome(message.replies, rest.replies);
            moveSome(message.ends, rest.ends);
            moveSome(message.asks, rest.asks);
        }
        updatePresence(message);
        updatePresence(rest);
        return rest;
    }

    void appendDatagrams(wire::SlotMessage message, std::vector<std::string>& datagrams)
    {
        std::string datagram = encoded(message);
        if (datagram.size() > usualDatagramBytes && partCount(message) > 1) {
            wire::SlotMessage rest = splitOff(message);
            appendDatagrams(message, datagrams);
            appendDatagrams(rest, datagrams);
        } else if (datagram.size() > maxDatagramBytes) {
            logChange(LogLevel::Warning, "slot-message-too-large",
                { { "bytes", datagram.size() }, { "slotsHeld", message.held.size() } });
        } else {
            datagrams.push_back(std::move(datagram));
        }
    }

}

std::vector<std::string> encodeSlotMessage(const SlotMessage& message)
{
    std::vector<std::string> datagrams;
    appendDatagrams(toWire(message), datagrams);
    return datagrams;
}

// --- Decoding

namespace {

    Millis durationFromWire(int32_t millis) { return std::clamp(Millis(millis), Millis(0), maxDuration); }

    std::optional<SlotAsk> fromWire(wire::SlotAsk& in)
    {
        if (in.pool.empty())
            return std::nullopt;
        SlotAsk ask;
        ask.ticket = static_cast<TicketId>(in.ticket);
        ask.pool = std::move(in.pool);
        constexpr int lowestPriority = priorityClassCount - 1;
        ask.priority = static_cast<PriorityClass>(std::clamp<int>(in.priority, 0, lowestPriority));
        ask.rank = std::min(static_cast<unsigned>(std::max(0, in.rank)), maxRank);
        ask.age = durationFromWire(in.ageMillis);
        ask.targetLeft = std::clamp(Millis(in.targetLeftMillis), -maxDuration, maxDuration);
        ask.deadlineLeft = durationFromWire(in.deadlineLeftMillis);
        ask.identity = static_cast<uint64_t>(in.identity);
        ask.preferred = std::move(in.preferred);
        ask.excluded = std::move(in.excluded);
        return ask;
    }

    std::optional<SlotEnd> fromWire(wire::SlotEnd& in)
    {
        if (in.pool.empty())
            return std::nullopt;
        SlotEnd end;
        end.ticket = static_cast<TicketId>(in.ticket);
        end.pool = std::move(in.pool);
        end.took = durationFromWire(in.tookMillis);
        end.refused = in.refused;
        return end;
    }

    std::optional<HeldSlot> fromWire(wire::HeldSlot& in)
    {
        if (in.pool.empty() || in.server.empty())
            return std::nullopt;
        HeldSlot slot;
        slot.ticket = static_cast<TicketId>(in.ticket);
        slot.pool = std::move(in.pool);
        slot.server = std::move(in.server);
        slot.deadlineLeft = durationFromWire(in.deadlineLeftMillis);
        return slot;
    }

    std::optional<SlotReply> fromWire(wire::SlotReply& in)
    {
        const auto kind = static_cast<SlotReply::Kind>(in.kind);
        const bool known = in.kind >= 0 && kind <= SlotReply::Kind::NoServer;
        if (!known || (kind == SlotReply::Kind::Granted && in.server.empty()))
            return std::nullopt;
        SlotReply reply;
        reply.ticket = static_cast<TicketId>(in.ticket);
        reply.kind = kind;
        reply.server = std::move(in.server);
        reply.wait = durationFromWire(in.waitMillis);
        return reply;
    }

    // False: one of the elements isn't valid.
    template <typename Wire, typename Element> bool appendAll(std::vector<Wire>& from, std::vector<Element>& to)
    {
        to.reserve(from.size());
        for (auto& in : from) {
            auto element = fromWire(in);
            if (!element)
                return false;
            to.push_back(std::move(*element));
        }
        return true;
    }

    // False: the bytes aren't one whole message.
    bool parse(std::string_view datagram, wire::SlotMessage& message)
    {
        // The limits keep a short datagram from announcing long strings and lists, which would be allocated before they
        // are read.
        constexpr auto limit = static_cast<int32_t>(maxDatagramBytes);
        static const auto configuration = std::make_shared<TConfiguration>(limit);
        auto* bytes = reinterpret_cast<uint8_t*>(const_cast<char*>(datagram.data())); // only read
        const auto buffer = std::make_shared<TMemoryBuffer>(
            bytes, static_cast<uint32_t>(datagram.size()), TMemoryBuffer::OBSERVE, configuration);
        const auto length = static_cast<int32_t>(datagram.size());
        TCompactProtocolT<TMemoryBuffer> protocol(buffer, length, length);
        try {
            message.read(&protocol);
        } catch (const std::exception&) {
            return false;
        }
        return buffer->available_read() == 0;
    }

}

std::optional<SlotMessage> decodeSlotMessage(std::string_view datagram)
{
    wire::SlotMessage in;
    if (datagram.empty() || datagram.size() > maxDatagramBytes || !parse(datagram, in) || in.sender.empty())
        return std::nullopt;
    SlotMessage message;
    message.sender = std::move(in.sender);
    message.dataCentre = std::move(in.dataCentre);
    message.incarnation = static_cast<uint64_t>(in.incarnation);
    if (in.__isset.held)
        message.held.emplace();
    const bool valid = appendAll(in.asks, message.asks) && appendAll(in.ends, message.ends)
        && (!message.held || appendAll(in.held, *message.held)) && appendAll(in.replies, message.replies);
    return valid ? std::optional(std::move(message)) : std::nullopt;
}

// --- Socket

namespace {

    std::optional<udp::endpoint> parseEndpoint(std::string_view text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string_view::npos)
            return std::nullopt;
        uint16_t port = 0;
        const auto digits = text.substr(colon + 1);
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
        if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || !port)
            return std::nullopt;
        boost::system::error_code error;
        const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), error);
        return error ? std::nullopt : std::optional(udp::endpoint(address, port));
    }

    std::string textOf(const udp::endpoint& endpoint)
    {
        return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    }

}

struct SlotSocket::Shared {
    udp::socket socket;
    Handler handler;
    Counter& bytesSent;
    uint64_t dropped = 0;
    std::map<std::string, std::optional<udp::endpoint>, std::less<>> endpoints; // by address as text; no value: invalid
    std::array<char, 65'535> buffer {}; // the largest datagram

    void open(std::string_view address, uint16_t port)
    {
        constexpr int receiveBufferBytes = 1'000'000; // datagrams that arrive while the thread does other work
        boost::system::error_code error;
        const auto parsed = asio::ip::make_address(std::string(address), error);
        const udp::endpoint endpoint(parsed, port);
        if (!error)
            socket.open(endpoint.protocol(), error);
        if (!error)
            socket.bind(endpoint, error);
        if (!error)
            socket.non_blocking(true, error);
        if (error) {
            logChange(LogLevel::Error, "slot-socket-failed",
                { { "address", address }, { "port", port }, { "why", error.message() } });
            close();
            return;
        }
        boost::system::error_code ignored; // the system's default size is used if a larger one isn't allowed
        socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
    }

    void close()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    const std::optional<udp::endpoint>& endpointOf(std::string_view address)
    {
        constexpr size_t maxEndpoints = 4'096;
        const auto found = endpoints.find(address);
        if (found != endpoints.end())
            return found->second;
        if (endpoints.size() >= maxEndpoints)
            endpoints.clear();
        return endpoints.emplace(std::string(address), parseEndpoint(address)).first->second;
    }

    // False: no datagram is available.
    bool receiveOne()
    {
        udp::endpoint sender;
        boost::system::error_code error;
        const size_t size = socket.receive_from(asio::buffer(buffer), sender, 0, error);
        if (error)
            return false;
        if (auto message = decodeSlotMessage({ buffer.data(), size }))
            handler(std::move(*message), textOf(sender));
        return true;
    }

    void receivePending()
    {
        constexpr unsigned maxDatagrams = 256; // before other work of the thread gets its turn
        for (unsigned i = 0; i < maxDatagrams && socket.is_open() && receiveOne(); ++i) { }
    }

    static void receiveNext(const std::shared_ptr<Shared>& shared)
    {
        shared->socket.async_wait(udp::socket::wait_read, [shared](const boost::system::error_code& error) {
            if (error == asio::error::operation_aborted)
                return;
            shared->receivePending();
            if (shared->socket.is_open())
                receiveNext(shared);
        });
    }
};

SlotSocket::SlotSocket(
    const asio::any_io_executor& executor, std::string_view address, uint16_t port, Handler handler, Counter& bytesSent)
    : m_shared(new Shared { udp::socket(executor), std::move(handler), bytesSent })
{
    m_shared->open(address, port);
    if (isOpen())
        Shared::receiveNext(m_shared);
}

SlotSocket::~SlotSocket() { m_shared->close(); }

bool SlotSocket::isOpen() const { return m_shared->socket.is_open(); }

uint16_t SlotSocket::port() const
{
    boost::system::error_code error;
    const auto endpoint = m_shared->socket.local_endpoint(error);
    return error ? 0 : endpoint.port();
}

void SlotSocket::send(std::string_view address, const SlotMessage& message)
{
    if (!isOpen())
        return;
    const auto& endpoint = m_shared->endpointOf(address);
    for (const auto& datagram : encodeSlotMessage(message)) {
        boost::system::error_code error;
        if (endpoint)
            m_shared->socket.send_to(asio::buffer(datagram), *endpoint, 0, error);
        if (!endpoint || error)
            ++m_shared->dropped;
        else
            m_shared->bytesSent.add(datagram.size());
    }
}

void SlotSocket::receivePending() { m_shared->receivePending(); }

uint64_t SlotSocket::datagramsDropped() const { return m_shared->dropped; }

}
