// The membership of entry hosts, as committed in the store.
//
// A commit adds or removes at most one member, so that any majority of one version shares a member with any majority
// of the next. A removed member stays listed as Departed until none of its dispatches can still be in flight.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

enum class MemberState : uint8_t {
    Member, // counts towards majorities and may route
    Departed, // does not count; moves still wait for its report or for its lease and work to run out
};

struct Member {
    std::string name;
    std::string dataCentre;
    std::string address; // IP address
    uint16_t peerPort = 0; // heartbeats between hosts over Thrift
    uint16_t callerPort = 0; // HTTP requests of callers and relayed requests
    uint16_t operatorPort = 0; // port of the administration API
    MemberState state = MemberState::Member;

    bool operator==(const Member&) const = default;
};

struct Roster {
    uint64_t version = 0; // 0: no roster committed yet
    std::vector<Member> members; // sorted by name

    bool operator==(const Roster&) const = default;

    const Member* find(std::string_view name) const;
    bool isMember(std::string_view name) const; // listed with MemberState::Member
    size_t activeMemberCount() const;
    size_t majority() const { return activeMemberCount() / 2 + 1; }
};

}
