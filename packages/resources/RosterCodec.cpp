#include "resources/RosterCodec.h"

#include "resources/FieldReader.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace cumindale {

namespace json = boost::json;

namespace {

    constexpr int64_t maxPort = 65535;

    Member readMember(const json::object& object, FieldError& fieldError)
    {
        FieldReader reader(object, "members", fieldError);
        Member member;
        member.name = reader.text("name", true);
        member.dataCentre = reader.text("dataCentre", true);
        member.address = reader.address("address");
        member.peerPort = static_cast<uint16_t>(reader.requiredInteger("peerPort", 1, maxPort));
        member.callerPort = static_cast<uint16_t>(reader.requiredInteger("callerPort", 1, maxPort));
        member.operatorPort = static_cast<uint16_t>(reader.requiredInteger("operatorPort", 1, maxPort));
        member.state = reader.flag("departed", false) ? MemberState::Departed : MemberState::Member;
        return member;
    }

}

std::string encodeRoster(const Roster& roster)
{
    json::array members;
    for (const auto& member : roster.members) {
        json::object object;
        object["name"] = member.name;
        object["dataCentre"] = member.dataCentre;
        object["address"] = member.address;
        object["peerPort"] = member.peerPort;
        object["callerPort"] = member.callerPort;
        object["operatorPort"] = member.operatorPort;
        object["departed"] = member.state == MemberState::Departed;
        members.push_back(std::move(object));
    }
    json::object object;
    object["version"] = roster.version;
    object["members"] = std::move(members);
    return json::serialize(object);
}

std::optional<Roster> decodeRoster(std::string_view text)
{
    FieldError fieldError;
    const json::object object = parseObject(text, fieldError);
    FieldReader reader(object, {}, fieldError);
    Roster roster;
    roster.version = static_cast<uint64_t>(reader.requiredInteger("version", 1, INT64_MAX));
    for (const auto* member : reader.objects("members"))
        roster.members.push_back(readMember(*member, fieldError));
    if (fieldError.any())
        return std::nullopt;
    return roster;
}

}
