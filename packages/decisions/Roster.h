// The entry hosts whose word counts, as committed in the store.
//
// It changes by one member a commit, so that any majority of one version shares a member with any majority of
// the next. A removed member stays listed as Departed until no dispatch of its time can still be in flight.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

enum class MemberState : uint8_t {
    Member, // counts in majorities and may route
    Departed, // does not count; moves still wait for it or for its time to run out
};

struct Member {
    std::string name;
    std::string dataCentre;
    std::string address; // IP number
    uint16_t peerPort = 0; // Thrift beats
    uint16_t callerPort = 0; // callers' HTTP, also relayed requests
    uint16_t operatorPort = 0; // administration API
    MemberState state = MemberState::Member;

    bool operator==(const Member&) const = default;
};

struct Roster {
    uint64_t version = 0; // 0: none committed yet
    std::vector<Member> members; // sorted by name

    bool operator==(const Roster&) const = default;

    const Member* find(std::string_view name) const;
    bool isMember(std::string_view name) const; // is it listed as Member
    size_t activeMemberCount() const;
    size_t majority() const { return activeMemberCount() / 2 + 1; }
};

}
