#include "peers/Wire.h"

namespace cumindale {

namespace {

    std::vector<wire::TableVersion> versionsToWire(const std::map<std::string, uint64_t, std::less<>>& versions)
    {
        std::vector<wire::TableVersion> list;
        for (const auto& [service, version] : versions) {
            wire::TableVersion entry;
            entry.serviceName = service;
            entry.version = static_cast<int64_t>(version);
            list.push_back(std::move(entry));
        }
        return list;
    }

    std::map<std::string, uint64_t, std::less<>> versionsFromWire(const std::vector<wire::TableVersion>& list)
    {
        std::map<std::string, uint64_t, std::less<>> versions;
        for (const auto& entry : list)
            versions[entry.serviceName] = static_cast<uint64_t>(entry.version);
        return versions;
    }

}

bool PeerState::equalsIgnoringAge(const PeerState& other) const
{
    return known == other.known && knownResourcesRevision == other.knownResourcesRevision
        && report.incarnation == other.report.incarnation && report.counts == other.report.counts
        && report.adoptedTables == other.report.adoptedTables && report.rosterVersion == other.report.rosterVersion
        && report.resourcesRevision == other.report.resourcesRevision && report.busy == other.report.busy
        && report.sights == other.report.sights;
}

wire::HostState toWire(const PeerState& state)
{
    wire::HostState out;
    out.incarnation = static_cast<int64_t>(state.report.incarnation);
    out.counts = state.report.counts;
    out.rosterVersion = static_cast<int64_t>(state.known.roster);
    out.resourcesRevision = state.knownResourcesRevision;
    out.resourcesInForce = state.report.resourcesRevision;
    out.known = versionsToWire(state.known.tables);
    out.adopted = versionsToWire(state.report.adoptedTables);
    for (const auto& busy : state.report.busy) {
        wire::BusySlice entry;
        entry.serviceName = busy.service;
        entry.sliceBegin = static_cast<int64_t>(busy.begin);
        out.busy.push_back(std::move(entry));
    }
    for (const auto& [server, sight] : state.report.sights) {
        wire::ServerSight entry;
        entry.server = server;
        entry.sight = static_cast<int8_t>(sight);
        out.sights.push_back(std::move(entry));
    }
    out.ageMillis = state.report.age.count();
    return out;
}

PeerState fromWire(const wire::HostState& in)
{
    PeerState state;
    state.known.roster = static_cast<uint64_t>(in.rosterVersion);
    state.known.tables = versionsFromWire(in.known);
    state.knownResourcesRevision = in.resourcesRevision;
    state.report.incarnation = static_cast<uint64_t>(in.incarnation);
    state.report.age = Millis(in.ageMillis);
    state.report.counts = in.counts;
    state.report.adoptedTables = versionsFromWire(in.adopted);
    state.report.rosterVersion = state.known.roster;
    state.report.resourcesRevision = in.resourcesInForce;
    for (const auto& busy : in.busy)
        state.report.busy.push_back({ busy.serviceName, static_cast<uint64_t>(busy.sliceBegin) });
    for (const auto& sight : in.sights)
        state.report.sights[sight.server] = static_cast<Reachability>(sight.sight);
    return state;
}

}
