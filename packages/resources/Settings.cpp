#include "resources/Settings.h"

#include <boost/asio/ip/address.hpp>
#include <boost/leaf/error.hpp>
#include <cmath>

namespace cumindale {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

    constexpr int64_t maxMillis = 3'600'000;
    constexpr size_t minTokenLength = 8;
    constexpr int64_t maxPort = 65'535;

    Millis readMillis(FieldReader& reader, std::string_view name, int64_t minimum, Millis defaultValue)
    {
        return Millis(reader.integer(name, minimum, maxMillis, defaultValue.count()));
    }

    // Accepts an "IP:port" string or an object with the fields "address" and "port".
    Endpoint readEndpoint(FieldReader& parent, std::string_view name, FieldError& fieldError, bool required = true)
    {
        Endpoint endpoint;
        if (const auto text = parent.optionalText(name)) {
            const auto colon = text->rfind(':');
            const auto port = colon == std::string::npos ? 0 : std::strtol(text->c_str() + colon + 1, nullptr, 10);
            boost::system::error_code error;
            endpoint.address = text->substr(0, colon);
            boost::asio::ip::make_address(endpoint.address, error);
            if (error || port < 1 || port > maxPort)
                parent.fail(name, "an IP address and a port, such as 10.0.0.1:7101");
            endpoint.port = static_cast<uint16_t>(port);
            return endpoint;
        }
        const auto* object = parent.object(name, required);
        if (!object)
            return endpoint;
        FieldReader reader(*object, parent.pathOf(name), fieldError);
        endpoint.address = reader.address("address");
        endpoint.port = static_cast<uint16_t>(reader.requiredInteger("port", 1, maxPort));
        reader.finish();
        return endpoint;
    }

    std::string readHealthPath(FieldReader& reader)
    {
        std::string path = reader.text("healthPath", false, "/cumindale/health");
        if (!path.starts_with('/') || path.find_first_of("?# ") != std::string::npos)
            reader.fail("healthPath", "a path that begins with a slash, without a query");
        return path;
    }

    HostSettings readHost(const json::object& object, FieldError& fieldError, bool gateway)
    {
        FieldReader reader(object, "host", fieldError);
        HostSettings host;
        host.name = reader.text("name", true, {}, 63);
        host.dataCentre = reader.text("dataCentre", true, {}, 63);
        host.callers = readEndpoint(reader, "callers", fieldError);
        host.peers = readEndpoint(reader, "peers", fieldError);
        host.operators = readEndpoint(reader, "operators", fieldError);
        // With a gateway, operators write to the platform's store and hosts discover each other there, so that neither
        // the token nor the host list is required.
        host.operatorToken = reader.text("operatorToken", !gateway);
        if (!gateway && host.operatorToken.size() < minTokenLength)
            reader.fail("operatorToken", "a string of at least 8 characters");
        host.store = readEndpoint(reader, "store", fieldError);
        host.hostList = readEndpoint(reader, "hostList", fieldError, !gateway);
        if (!gateway)
            host.healthPath = readHealthPath(reader);
        reader.finish();
        return host;
    }

    TimingSettings readTiming(const json::object& object, FieldError& fieldError)
    {
        FieldReader reader(object, "timing", fieldError);
        TimingSettings timing;
        timing.heartbeatInterval = readMillis(reader, "beatMs", 10, timing.heartbeatInterval);
        timing.lease = readMillis(reader, "leaseMs", 50, timing.lease);
        timing.driftMargin = readMillis(reader, "driftMarginMs", 1, timing.driftMargin);
        timing.leaderLease = readMillis(reader, "leaderLeaseMs", 1000, timing.leaderLease);
        timing.rereadInterval = readMillis(reader, "rereadMs", 500, timing.rereadInterval);
        timing.probeInterval = readMillis(reader, "probeMs", 20, timing.probeInterval);
        timing.probeTimeout = readMillis(reader, "probeTimeoutMs", 20, timing.probeTimeout);
        timing.hostListLag = readMillis(reader, "hostListLagMs", 0, timing.hostListLag);
        timing.shutdownGrace = readMillis(reader, "shutdownGraceMs", 1000, timing.shutdownGrace);
        if (timing.lease < 2 * timing.heartbeatInterval)
            reader.fail("leaseMs", "at least twice beatMs, so that one lost beat does not stop a host");
        reader.finish();
        return timing;
    }

    Millis readSeconds(FieldReader& reader, std::string_view name, double minimum, Millis defaultValue)
    {
        constexpr double maxSeconds = 3'600;
        const double seconds = reader.real(name, minimum, maxSeconds, static_cast<double>(defaultValue.count()) / 1000);
        return Millis(std::llround(seconds * 1000));
    }

    SlotBrokerMode readSlotBrokers(FieldReader& reader)
    {
        const std::string mode = reader.oneOf("slotBrokers", { "auto", "on", "off" }, "auto");
        if (mode == "on")
            return SlotBrokerMode::On;
        return mode == "off" ? SlotBrokerMode::Off : SlotBrokerMode::Auto;
    }

    GatewaySettings readGateway(const json::object& object, FieldError& fieldError)
    {
        FieldReader reader(object, "gateway", fieldError);
        GatewaySettings gateway;
        gateway.platform = reader.oneOf("platform", { metadataStorePlatform }, {});
        gateway.readiness = readEndpoint(reader, "readiness", fieldError);
        constexpr double maxCores = 1'024;
        gateway.strength = reader.real("strength", 0, maxCores, gateway.strength);
        constexpr int64_t maxMemoryMegabytes = 1'000'000;
        gateway.memoryMegabytes = static_cast<size_t>(reader.integer("memoryMegabytes", 0, maxMemoryMegabytes, 0));
        constexpr int64_t maxDescriptors = 100'000'000;
        gateway.descriptors = static_cast<size_t>(reader.integer("descriptors", 0, maxDescriptors, 0));
        gateway.maxGrantHold = readSeconds(reader, "longestHoldSeconds", 1, gateway.maxGrantHold);
        gateway.leaderLease = readSeconds(reader, "leaderLeaseSeconds", 1, gateway.leaderLease);
        gateway.minStoreLease = readSeconds(reader, "shortestLeaseSeconds", 0, gateway.minStoreLease);
        gateway.leaveTimeout = readSeconds(reader, "leaveWithinSeconds", 0.1, gateway.leaveTimeout);
        gateway.evacuationTimeout = readSeconds(reader, "evacuateWithinSeconds", 0.1, gateway.evacuationTimeout);
        gateway.rulesDeadline = readSeconds(reader, "rulesWithinSeconds", 0.1, gateway.rulesDeadline);
        gateway.shutdownGrace = readSeconds(reader, "graceSeconds", 1, gateway.shutdownGrace);
        gateway.fingerprintKey = reader.text("fingerprintKey", false);
        gateway.retryRatio = reader.real("retryRatio", 0, 1, gateway.retryRatio);
        constexpr double maxRetrySlack = 1'000'000;
        gateway.retrySlack = reader.real("retrySlack", 0, maxRetrySlack, gateway.retrySlack);
        gateway.slotBrokers = readSlotBrokers(reader);
        constexpr int64_t maxPortOffset = 1'000;
        gateway.forwardPortOffset = static_cast<unsigned>(reader.integer("forwardPortOffset", 0, maxPortOffset, 0));
        reader.finish();
        return gateway;
    }

    LimitSettings readLimits(const json::object& object, FieldError& fieldError)
    {
        FieldReader reader(object, "limits", fieldError);
        LimitSettings limits;
        const auto size = [&](std::string_view name, int64_t minimum, int64_t maximum, size_t defaultValue) {
            return static_cast<size_t>(reader.integer(name, minimum, maximum, static_cast<int64_t>(defaultValue)));
        };
        limits.callerConnections = size("callerConnections", 1, 1'000'000, limits.callerConnections);
        limits.bodyMemory = size("bodyMemoryBytes", 1'000'000, 1'000'000'000'000, limits.bodyMemory);
        limits.responseMemory = size("responseMemoryBytes", 1'000'000, 1'000'000'000'000, limits.responseMemory);
        limits.connectionResponseBytes
            = size("connectionResponseBytes", 1'000, 1'000'000'000, limits.connectionResponseBytes);
        limits.pipelinedRequests = size("pipelinedRequests", 1, 1'000, limits.pipelinedRequests);
        limits.headerBytes = size("headerBytes", 1'024, 1'048'576, limits.headerBytes);
        limits.keyBytes = size("keyBytes", 1, 65'536, limits.keyBytes);
        limits.headerTimeout = readMillis(reader, "headerTimeoutMs", 100, limits.headerTimeout);
        limits.bodyIdleTimeout = readMillis(reader, "bodyIdleTimeoutMs", 100, limits.bodyIdleTimeout);
        limits.idleTimeout = readMillis(reader, "idleTimeoutMs", 100, limits.idleTimeout);
        reader.finish();
        return limits;
    }

}

leaf::result<Settings> parseSettings(std::string_view text)
{
    FieldError fieldError;
    const json::object object = parseObject(text, fieldError);
    if (fieldError.any())
        return leaf::new_error(fieldError);
    FieldReader reader(object, {}, fieldError);
    Settings settings;
    if (const auto* gateway = reader.object("gateway", false))
        settings.gateway = readGateway(*gateway, fieldError);
    if (const auto* host = reader.object("host", true))
        settings.host = readHost(*host, fieldError, settings.gateway.has_value());
    if (const auto* timing = reader.object("timing", false))
        settings.timing = readTiming(*timing, fieldError);
    if (const auto* limits = reader.object("limits", false))
        settings.limits = readLimits(*limits, fieldError);
    const unsigned forwardPortOffset = settings.gateway ? settings.gateway->forwardPortOffset : 0;
    if (settings.host.peers.port + forwardPortOffset > maxPort)
        reader.fail("gateway.forwardPortOffset", "at most 65535 together with the port of host.peers");
    reader.finish();
    if (fieldError.any())
        return leaf::new_error(fieldError);
    return settings;
}

}
