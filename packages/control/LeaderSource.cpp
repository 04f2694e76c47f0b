#include "control/LeaderSource.h"

#include "resources/FieldReader.h"

#include <boost/json.hpp>

namespace cumindale {

namespace json = boost::json;

std::string encodeLeader(const LeaderView& leader)
{
    json::object object;
    object["host"] = leader.host;
    object["nonce"] = leader.nonce;
    if (!leader.address.empty())
        object["address"] = leader.address;
    return json::serialize(object);
}

LeaderView decodeLeader(std::string_view text, int64_t modRevision)
{
    FieldError fault;
    const json::object object = parseObject(text, fault);
    FieldReader reader(object, {}, fault);
    LeaderView leader { reader.text("host", true), reader.text("nonce", true), reader.text("address", false),
        modRevision };
    return fault.any() ? LeaderView { {}, {}, {}, modRevision } : leader;
}

}
