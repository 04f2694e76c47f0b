#include "resources/FleetSizeCodec.h"

#include "resources/FieldReader.h"
#include "resources/ResourceCodec.h"

#include <boost/json/serialize.hpp>

namespace cumindale {

namespace json = boost::json;

namespace {

    constexpr int64_t maxCount = 10'000'000;

}

std::string fleetSizeKey() { return std::string(storePrefix) + "fleet"; }

std::string encodeFleetSize(const FleetSize& size)
{
    return json::serialize(json::object { { "hosts", size.hosts }, { "servers", size.servers } });
}

std::optional<FleetSize> decodeFleetSize(std::string_view text)
{
    FieldError fieldError;
    const json::object object = parseObject(text, fieldError);
    FieldReader reader(object, {}, fieldError);
    FleetSize size;
    size.hosts = static_cast<size_t>(reader.requiredInteger("hosts", 1, maxCount));
    size.servers = static_cast<size_t>(reader.requiredInteger("servers", 0, maxCount));
    return fieldError.any() ? std::nullopt : std::optional(size);
}

}
