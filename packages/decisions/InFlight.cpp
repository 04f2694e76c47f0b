#include "decisions/InFlight.h"

#include <set>

namespace cumindale {

DispatchId InFlight::add(std::string_view service, std::string_view server, uint64_t point, Instant deadline)
{
    const DispatchId id = m_next++;
    m_dispatches.emplace(id, Dispatch { std::string(service), std::string(server), point, deadline, false });
    return id;
}

void InFlight::answered(DispatchId id) { m_dispatches.erase(id); }

void InFlight::connectionEnded(DispatchId id)
{
    const auto found = m_dispatches.find(id);
    if (found == m_dispatches.end() || found->second.ended)
        return;
    found->second.ended = true;
    m_ended.emplace(found->second.deadline, id);
}

void InFlight::serverGone(std::string_view server)
{
    for (auto it = m_ended.begin(); it != m_ended.end();) {
        const auto found = m_dispatches.find(it->second);
        if (found != m_dispatches.end() && found->second.server == server) {
            m_dispatches.erase(found);
            it = m_ended.erase(it);
        } else {
            ++it;
        }
    }
}

void InFlight::removeExpired(Instant now)
{
    while (!m_ended.empty() && m_ended.begin()->first <= now) {
        m_dispatches.erase(m_ended.begin()->second);
        m_ended.erase(m_ended.begin());
    }
}

std::vector<BusySlice> InFlight::busy(const SliceTable& table) const
{
    std::set<uint64_t> begins;
    for (const auto& [id, dispatch] : m_dispatches) {
        if (dispatch.service != table.service)
            continue;
        const Slice& slice = table.slices[table.indexOf(dispatch.point)];
        if (slice.state == SliceState::Stopping)
            begins.insert(slice.begin);
    }
    std::vector<BusySlice> list;
    list.reserve(begins.size());
    for (uint64_t begin : begins)
        list.push_back({ table.service, begin });
    return list;
}

}
