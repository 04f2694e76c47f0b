#include "decisions/Roster.h"

#include <algorithm>

namespace cumindale {

const Member* Roster::find(std::string_view name) const
{
    const auto found = std::find_if(members.begin(), members.end(), [&](const Member& m) { return m.name == name; });
    return found == members.end() ? nullptr : &*found;
}

bool Roster::isMember(std::string_view name) const
{
    const Member* member = find(name);
    return member && member->state == MemberState::Member;
}

size_t Roster::activeMemberCount() const
{
    return static_cast<size_t>(std::count_if(
        members.begin(), members.end(), [](const Member& member) { return member.state == MemberState::Member; }));
}

}
