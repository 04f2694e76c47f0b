#include "resources/Settings.h"

#include <boost/asio/ip/address.hpp>
#include <boost/leaf/error.hpp>
#include <cmath>

namespace cumindale {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

    constexpr int64_t longestMillis = 3'600'000;
    constexpr size_t shortestToken = 8;
    constexpr int64_t highestPort = 65'535;

    Millis readMillis(FieldReader& reader, std::string_view name, int64_t least, Millis otherwise)
    {
        return Millis(reader.number(name, least, longestMillis, otherwise.count()));
    }

    // "IP:port" in one text, or an object with both.
    Endpoint readEndpoint(FieldReader& parent, std::string_view name, FieldFault& fault, bool required = true)
    {
        Endpoint endpoint;
        if (const auto text = parent.textIfAny(name)) {
            const auto colon = text->rfind(':');
            const auto port = colon == std::string::npos ? 0 : std::strtol(text->c_str() + colon + 1, nullptr, 10);
            boost::system::error_code error;
            endpoint.address = text->substr(0, colon);
            boost::asio::ip::make_address(endpoint.address, error);
            if (error || port < 1 || port > highestPort)
                parent.fail(name, "an IP number and a port, as 10.0.0.1:7101");
            endpoint.port = static_cast<uint16_t>(port);
            return endpoint;
        }
        const auto* object = parent.object(name, required);
        if (!object)
            return endpoint;
        FieldReader reader(*object, parent.pathOf(name), fault);
        endpoint.address = reader.address("address");
        endpoint.port = static_cast<uint16_t>(reader.requiredNumber("port", 1, highestPort));
        reader.finish();
        return endpoint;
    }

    HostSettings readHost(const json::object& object, FieldFault& fault, bool gateway)
    {
        FieldReader reader(object, "host", fault);
        HostSettings host;
        host.name = reader.text("name", true, {}, 63);
        host.dataCentre = reader.text("dataCentre", true, {}, 63);
        host.callers = readEndpoint(reader, "callers", fault);
        host.peers = readEndpoint(reader, "peers", fault);
        host.operators = readEndpoint(reader, "operators", fault);
        // On a gateway operators write to the platform's store, and hosts find each other there.
        host.operatorToken = reader.text("operatorToken", !gateway);
        if (!gateway && host.operatorToken.size() < shortestToken)
            reader.fail("operatorToken", "a text of at least 8 characters");
        host.store = readEndpoint(reader, "store", fault);
        host.hostList = readEndpoint(reader, "hostList", fault, !gateway);
        reader.finish();
        return host;
    }

    TimingSettings readTiming(const json::object& object, FieldFault& fault)
    {
        FieldReader reader(object, "timing", fault);
        TimingSettings timing;
        timing.beat = readMillis(reader, "beatMs", 10, timing.beat);
        timing.lease = readMillis(reader, "leaseMs", 50, timing.lease);
        timing.driftMargin = readMillis(reader, "driftMarginMs", 1, timing.driftMargin);
        timing.leaderLease = readMillis(reader, "leaderLeaseMs", 1000, timing.leaderLease);
        timing.reread = readMillis(reader, "rereadMs", 500, timing.reread);
        timing.probe = readMillis(reader, "probeMs", 20, timing.probe);
        timing.probeTimeout = readMillis(reader, "probeTimeoutMs", 20, timing.probeTimeout);
        timing.hostListLag = readMillis(reader, "hostListLagMs", 0, timing.hostListLag);
        if (timing.lease < 2 * timing.beat)
            reader.fail("leaseMs", "at least twice beatMs, so that one lost beat does not stop a host");
        reader.finish();
        return timing;
    }

    Millis readSeconds(FieldReader& reader, std::string_view name, double least, Millis otherwise)
    {
        constexpr double longestSeconds = 3'600;
        const double seconds = reader.ratio(name, least, longestSeconds, static_cast<double>(otherwise.count()) / 1000);
        return Millis(std::llround(seconds * 1000));
    }

    GatewaySettings readGateway(const json::object& object, FieldFault& fault)
    {
        FieldReader reader(object, "gateway", fault);
        GatewaySettings gateway;
        gateway.platform = reader.oneOf("platform", { metadataStorePlatform }, {});
        gateway.readiness = readEndpoint(reader, "readiness", fault);
        constexpr double mostCores = 1'024;
        gateway.strength = reader.ratio("strength", 0, mostCores, gateway.strength);
        gateway.longestHold = readSeconds(reader, "longestHoldSeconds", 1, gateway.longestHold);
        gateway.leaderLease = readSeconds(reader, "leaderLeaseSeconds", 1, gateway.leaderLease);
        gateway.shortestLease = readSeconds(reader, "shortestLeaseSeconds", 0, gateway.shortestLease);
        gateway.leaveWithin = readSeconds(reader, "leaveWithinSeconds", 0.1, gateway.leaveWithin);
        gateway.evacuateWithin = readSeconds(reader, "evacuateWithinSeconds", 0.1, gateway.evacuateWithin);
        gateway.grace = readSeconds(reader, "graceSeconds", 1, gateway.grace);
        gateway.fingerprintKey = reader.text("fingerprintKey", false);
        gateway.retryRatio = reader.ratio("retryRatio", 0, 1, gateway.retryRatio);
        constexpr double mostSlack = 1'000'000;
        gateway.retrySlack = reader.ratio("retrySlack", 0, mostSlack, gateway.retrySlack);
        reader.finish();
        return gateway;
    }

    LimitSettings readLimits(const json::object& object, FieldFault& fault)
    {
        FieldReader reader(object, "limits", fault);
        LimitSettings limits;
        const auto size = [&](std::string_view name, int64_t least, int64_t most, size_t otherwise) {
            return static_cast<size_t>(reader.number(name, least, most, static_cast<int64_t>(otherwise)));
        };
        limits.callerConnections = size("callerConnections", 1, 1'000'000, limits.callerConnections);
        limits.bodyMemory = size("bodyMemoryBytes", 1'000'000, 1'000'000'000'000, limits.bodyMemory);
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
    FieldFault fault;
    const json::object object = parseObject(text, fault);
    if (fault.any())
        return leaf::new_error(fault);
    FieldReader reader(object, {}, fault);
    Settings settings;
    if (const auto* gateway = reader.object("gateway", false))
        settings.gateway = readGateway(*gateway, fault);
    if (const auto* host = reader.object("host", true))
        settings.host = readHost(*host, fault, settings.gateway.has_value());
    if (const auto* timing = reader.object("timing", false))
        settings.timing = readTiming(*timing, fault);
    if (const auto* limits = reader.object("limits", false))
        settings.limits = readLimits(*limits, fault);
    reader.finish();
    if (fault.any())
        return leaf::new_error(fault);
    return settings;
}

}
