#include "resources/Settings.h"

#include <boost/leaf/error.hpp>

namespace cumindale {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

    constexpr int64_t longestMillis = 3'600'000;
    constexpr size_t shortestToken = 8;

    Millis readMillis(FieldReader& reader, std::string_view name, int64_t least, Millis otherwise)
    {
        return Millis(reader.number(name, least, longestMillis, otherwise.count()));
    }

    Endpoint readEndpoint(FieldReader& parent, std::string_view name, FieldFault& fault)
    {
        Endpoint endpoint;
        const auto* object = parent.object(name, true);
        if (!object)
            return endpoint;
        FieldReader reader(*object, parent.pathOf(name), fault);
        endpoint.address = reader.address("address");
        endpoint.port = static_cast<uint16_t>(reader.requiredNumber("port", 1, 65535));
        reader.finish();
        return endpoint;
    }

    HostSettings readHost(const json::object& object, FieldFault& fault)
    {
        FieldReader reader(object, "host", fault);
        HostSettings host;
        host.name = reader.text("name", true, {}, 63);
        host.dataCentre = reader.text("dataCentre", true, {}, 63);
        host.callers = readEndpoint(reader, "callers", fault);
        host.peers = readEndpoint(reader, "peers", fault);
        host.operators = readEndpoint(reader, "operators", fault);
        host.operatorToken = reader.text("operatorToken", true);
        if (host.operatorToken.size() < shortestToken)
            reader.fail("operatorToken", "a text of at least 8 characters");
        host.store = readEndpoint(reader, "store", fault);
        host.hostList = readEndpoint(reader, "hostList", fault);
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
    if (const auto* host = reader.object("host", true))
        settings.host = readHost(*host, fault);
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
