// Slot messages (decisions/SlotMessages.h) as datagrams, and the socket that sends and receives them. See slots.thrift.
//
// Datagrams come from the network unchecked, so decoding accepts any bytes: what isn't a valid message is ignored, and
// values are limited to their ranges.
#pragma once

#include "base/Metrics.h"
#include "decisions/SlotMessages.h"

#include <boost/asio/any_io_executor.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

constexpr size_t usualDatagramBytes = 1'200; // fits into one Ethernet frame, also in tunnels
constexpr size_t maxDatagramBytes = 32'000;

// Asks, ends and replies are divided among several datagrams if they exceed the usual size. The statement of the slots
// held is complete by definition and always in one datagram. Parts that exceed the maximum size are logged and left
// out.
std::vector<std::string> encodeSlotMessage(const SlotMessage&);
std::optional<SlotMessage> decodeSlotMessage(std::string_view datagram); // no value: not a valid message

class SlotSocket {
public:
    // `from` is the address of the sending socket, "IP:port", to which replies can be sent. Called on the executor's
    // thread; must not block.
    using Handler = std::function<void(SlotMessage, std::string_view from)>;

    // If the address can't be bound, this is logged, and the socket sends and receives nothing. Port 0: any free port.
    SlotSocket(
        const boost::asio::any_io_executor&, std::string_view address, uint16_t port, Handler, Counter& bytesSent);
    ~SlotSocket();
    SlotSocket(const SlotSocket&) = delete;
    SlotSocket& operator=(const SlotSocket&) = delete;

    bool isOpen() const;
    uint16_t port() const; // 0 if the socket isn't open
    void receivePending(); // calls the handler for each datagram that has arrived
    // Never blocks: datagrams that can't be sent at once are dropped. `address`: "IP:port".
    void send(std::string_view address, const SlotMessage&);
    uint64_t datagramsDropped() const;

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

}
