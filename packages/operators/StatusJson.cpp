#include "operators/StatusJson.h"

#include "base/Hash.h"

#include <boost/json/array.hpp>

namespace cumindale {

namespace json = boost::json;

namespace {

    std::string_view sightName(Reachability sight)
    {
        switch (sight) {
        case Reachability::Unknown:
            return "unknown";
        case Reachability::Reachable:
            return "reachable";
        case Reachability::Unresponsive:
            return "silent";
        case Reachability::Refused:
            return "refused";
        }
        return "unknown";
    }

    std::string_view stateName(SliceState state)
    {
        switch (state) {
        case SliceState::Serving:
            return "serving";
        case SliceState::Stopping:
            return "stopping";
        case SliceState::Unowned:
            return "unowned";
        }
        return "unowned";
    }

    json::object hostsJson(const StatusSnapshot& snapshot)
    {
        json::object hosts;
        for (const auto& member : snapshot.roster->members) {
            json::object host;
            host["dataCentre"] = member.dataCentre;
            host["address"] = member.address;
            host["callerPort"] = member.callerPort;
            host["operatorPort"] = member.operatorPort;
            host["departed"] = member.state == MemberState::Departed;
            const auto report = snapshot.reports.find(member.name);
            host["heard"] = report != snapshot.reports.end();
            if (report != snapshot.reports.end()) {
                host["counts"] = report->second.counts;
                host["resourcesRevision"] = report->second.resourcesRevision;
                json::object sights;
                for (const auto& [server, sight] : report->second.sights)
                    sights[server] = sightName(sight);
                host["sights"] = std::move(sights);
            }
            hosts[member.name] = std::move(host);
        }
        return hosts;
    }

    json::object servicesJson(const StatusSnapshot& snapshot)
    {
        json::object services;
        for (const auto& [name, table] : snapshot.tables) {
            json::object service;
            std::map<std::string, size_t> owned;
            std::map<std::string, size_t> states;
            for (const auto& slice : table->slices) {
                ++states[std::string(stateName(slice.state))];
                if (slice.state != SliceState::Unowned)
                    ++owned[std::string(table->serverName(slice.owner))];
            }
            service["tableVersion"] = table->version;
            service["slices"] = table->slices.size();
            service["ownersGiven"]
                = table->nextFence - 1; // count of ownership assignments since the service was declared
            for (const auto& [state, count] : states)
                service[state] = count;
            json::object servers;
            for (const auto& [server, count] : owned)
                servers[server] = count;
            service["slicesOfServer"] = std::move(servers);
            const auto fresh = snapshot.freshForMillis.find(name);
            service["freshForMs"] = fresh == snapshot.freshForMillis.end() ? 0 : fresh->second;
            services[name] = std::move(service);
        }
        return services;
    }

    // Counts, for each evacuated data centre, the slices whose owner is still there. At 0, no more requests are sent
    // there.
    json::object evacuationsJson(const StatusSnapshot& snapshot)
    {
        json::object evacuated;
        for (const auto& centre : snapshot.resources->evacuations) {
            size_t slices = 0;
            for (const auto& [name, table] : snapshot.tables) {
                for (const auto& slice : table->slices) {
                    const auto server = snapshot.resources->servers.find(table->serverName(slice.owner));
                    const bool inCentre
                        = server != snapshot.resources->servers.end() && server->second.dataCentre == centre;
                    slices += slice.state != SliceState::Unowned && inCentre;
                }
            }
            evacuated[centre] = slices;
        }
        return evacuated;
    }

}

json::object statusJson(const StatusSnapshot& snapshot)
{
    json::object status;
    status["host"] = snapshot.host;
    status["counts"] = snapshot.counts;
    status["isAssigner"] = snapshot.isAssigner;
    status["assigner"] = snapshot.leader.host;
    status["storeAnswers"] = snapshot.storeAnswers;
    status["storeWentBack"] = snapshot.storeWentBack;
    if (!snapshot.roster || !snapshot.resources)
        return status;
    status["resourcesRevision"] = snapshot.resources->revision;
    status["rosterVersion"] = snapshot.roster->version;
    status["hosts"] = hostsJson(snapshot);
    status["services"] = servicesJson(snapshot);
    status["slicesLeftInEvacuated"] = evacuationsJson(snapshot);
    return status;
}

json::object explainJson(const StatusSnapshot& snapshot, std::string_view service, std::string_view key)
{
    json::object answer;
    answer["service"] = service;
    answer["key"] = key;
    const uint64_t point = pointOfKey(key);
    answer["point"] = formatPoint(point);
    const auto table = snapshot.tables.find(service);
    if (table == snapshot.tables.end()) {
        answer["why"] = "no table: the service is not declared or has no servers yet";
        return answer;
    }
    const size_t index = table->second->indexOf(point);
    const Slice& slice = table->second->slices[index];
    answer["tableVersion"] = table->second->version;
    answer["slice"] = index;
    answer["range"] = formatPoint(slice.begin) + "-" + formatPoint(table->second->lastPointOf(index));
    answer["state"] = stateName(slice.state);
    answer["fence"] = slice.fence;
    answer["owner"] = table->second->serverName(slice.owner);
    answer["successor"] = table->second->serverName(slice.successor);
    if (slice.state == SliceState::Stopping)
        answer["why"] = "moving: stopped in version " + std::to_string(slice.stoppedInVersion)
            + "; the successor owns it once no work of the owner can be in flight";
    else if (slice.state == SliceState::Unowned)
        answer["why"] = "unowned: no server is eligible for this slice";
    else
        answer["why"] = "the owner serves this slice";
    return answer;
}

json::object inForceJson(const StatusSnapshot& snapshot, int64_t revision)
{
    json::array in;
    json::array notYet;
    for (const auto& member : snapshot.roster->members) {
        if (member.state != MemberState::Member)
            continue;
        const auto report = snapshot.reports.find(member.name);
        const bool inForce = report != snapshot.reports.end() && report->second.resourcesRevision >= revision;
        (inForce ? in : notYet).emplace_back(member.name);
    }
    json::object answer;
    answer["inForce"] = std::move(in);
    answer["notYet"] = std::move(notYet);
    return answer;
}

bool inForceEverywhere(const StatusSnapshot& snapshot, int64_t revision)
{
    if (!snapshot.roster || !snapshot.roster->version)
        return false;
    return inForceJson(snapshot, revision).at("notYet").as_array().empty();
}

}
