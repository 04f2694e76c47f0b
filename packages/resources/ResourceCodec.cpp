#include "resources/ResourceCodec.h"

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>

namespace cumindale {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

    constexpr int64_t maxDeadlineMillis = 600'000;
    constexpr int64_t maxSlots = 100'000;
    constexpr int64_t maxConnections = 1'000'000;
    constexpr int64_t maxBodyBytes = 64'000'000;
    constexpr size_t maxNameLength = 63;

    // Allows letters, digits, '-', '_' and '.', so that names are safe in paths, headers and store keys.
    bool isName(std::string_view name)
    {
        if (name.empty() || name.size() > maxNameLength)
            return false;
        return std::all_of(name.begin(), name.end(),
            [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
    }

    RouteRule readRoute(const json::object& object, const std::string& path, FieldError& fieldError)
    {
        FieldReader reader(object, path, fieldError);
        RouteRule rule;
        rule.method = reader.text("method", false);
        rule.pathPrefix = reader.text("pathPrefix", false, {}, 1024);
        rule.idempotent = reader.flag("idempotent", false);
        const std::vector<std::string_view> classes { "interactive", "submission", "upload", "background" };
        const std::string name = reader.oneOf("class", classes, "interactive");
        rule.priority = static_cast<PriorityClass>(std::find(classes.begin(), classes.end(), name) - classes.begin());
        rule.deadline = Millis(reader.integer("deadlineMs", 10, maxDeadlineMillis, 1000));
        reader.finish();
        return rule;
    }

    ServiceResource readService(const std::string& name, const json::object& spec, FieldError& fieldError)
    {
        FieldReader reader(spec, "spec", fieldError);
        ServiceResource service;
        service.name = name;
        service.pathPrefix = reader.text("pathPrefix", true, {}, 1024);
        if (!service.pathPrefix.starts_with('/') || !service.pathPrefix.ends_with('/'))
            reader.fail("pathPrefix", "a path that begins and ends with '/', as \"/tracing/\"");
        if (const auto* key = reader.object("key", true)) {
            FieldReader keyReader(*key, reader.pathOf("key"), fieldError);
            service.keyHeader = keyReader.text("header", false);
            service.keySegment = static_cast<unsigned>(keyReader.integer("pathSegment", 0, 32, 0));
            const bool bySegment = key->contains("pathSegment");
            if (bySegment != service.keyHeader.empty())
                keyReader.fail("header", "either header or pathSegment");
            service.keySource = bySegment ? KeySource::PathSegment : KeySource::Header;
            keyReader.finish();
        }
        size_t index = 0;
        for (const auto* route : reader.objects("routes"))
            service.routes.push_back(readRoute(*route, "spec.routes[" + std::to_string(index++) + "]", fieldError));
        service.longestWork = Millis(reader.integer("longestWorkMs", 10, maxDeadlineMillis, 1000));
        service.retryRatio = reader.real("retryRatio", 0, 1, 0.10);
        service.tolerance = reader.real("tolerance", 0.01, 10, 0.20);
        service.largestBody = static_cast<uint64_t>(reader.integer("largestBodyBytes", 0, maxBodyBytes, 8'000'000));
        reader.finish();
        return service;
    }

    ServerResource readServer(const std::string& name, const json::object& spec, FieldError& fieldError)
    {
        FieldReader reader(spec, "spec", fieldError);
        ServerResource server;
        server.name = name;
        server.service = reader.text("service", true);
        server.address = reader.address("address");
        server.port = static_cast<uint16_t>(reader.requiredInteger("port", 1, 65535));
        server.dataCentre = reader.text("dataCentre", true);
        server.slots = static_cast<unsigned>(reader.integer("slots", 1, maxSlots, 4));
        server.connections = static_cast<unsigned>(reader.integer("connections", 1, maxConnections, 120));
        server.checksGrants = reader.flag("checksGrants", false);
        server.coldStart = Millis(reader.integer("coldStartMs", 0, maxDeadlineMillis, 0));
        const std::string state = reader.oneOf("state", { "live", "leaving" }, "live");
        server.desiredState = state == "leaving" ? DesiredState::Leaving : DesiredState::Live;
        reader.finish();
        return server;
    }

    // The resource has the name of its data centre; the spec has no fields.
    void readEvacuation(Resources& resources, const ResourceDocument& document, FieldError& fieldError)
    {
        FieldReader reader(document.spec, "spec", fieldError);
        reader.finish();
        resources.evacuations.insert(document.name);
    }

    PlacementResource readPlacement(const std::string& name, const json::object& spec, FieldError& fieldError)
    {
        FieldReader reader(spec, "spec", fieldError);
        PlacementResource placement;
        placement.name = name;
        placement.service = reader.text("service", true);
        const std::vector<std::string_view> rules { "prefer", "avoid", "pin" };
        const std::string rule = reader.oneOf("rule", rules, {});
        placement.rule = static_cast<PlacementRule>(std::find(rules.begin(), rules.end(), rule) - rules.begin());
        placement.keys = reader.texts("keys");
        placement.servers = reader.texts("servers");
        placement.dataCentres = reader.texts("dataCentres");
        if (placement.servers.empty() && placement.dataCentres.empty())
            reader.fail("servers", "servers and dataCentres must not both be empty");
        reader.finish();
        return placement;
    }

}

std::string resourceKey(std::string_view kind, std::string_view name)
{
    return std::string(storePrefix) + "resources/" + std::string(kind) + "/" + std::string(name);
}

std::string tableKey(std::string_view service) { return std::string(storePrefix) + "tables/" + std::string(service); }

std::string rosterKey() { return std::string(storePrefix) + "roster"; }

std::string leaderKey() { return std::string(storePrefix) + "leader"; }

namespace {

    constexpr std::array<std::string_view, 4> kinds { "Service", "BackendServer", "Placement", "Evacuation" };

}

bool isKind(std::string_view kind) { return std::find(kinds.begin(), kinds.end(), kind) != kinds.end(); }

std::string_view kindOfKey(std::string_view key)
{
    static const std::string prefix = std::string(storePrefix) + "resources/";
    if (!key.starts_with(prefix))
        return {};
    const auto rest = key.substr(prefix.size());
    return rest.substr(0, rest.find('/'));
}

namespace {

    ResourceDocument readDocument(FieldReader& reader)
    {
        ResourceDocument document;
        document.kind = reader.oneOf("kind", { kinds.begin(), kinds.end() }, {});
        document.name = reader.text("name", true);
        if (!isName(document.name))
            reader.fail("name", "1 to 63 letters, digits, '-', '_' or '.'");
        if (const auto* spec = reader.object("spec", true))
            document.spec = *spec;
        return document;
    }

}

leaf::result<ResourceDocument> parseDocument(std::string_view text)
{
    FieldError fieldError;
    const json::object object = parseObject(text, fieldError);
    if (fieldError.any())
        return leaf::new_error(fieldError);
    FieldReader reader(object, {}, fieldError);
    ResourceDocument document = readDocument(reader);
    reader.finish();
    if (fieldError.any())
        return leaf::new_error(fieldError);
    Resources scratch;
    BOOST_LEAF_CHECK(addToResources(scratch, document));
    return document;
}

leaf::result<StoredResource> parseStoredResource(std::string_view text)
{
    FieldError fieldError;
    const json::object object = parseObject(text, fieldError);
    if (fieldError.any())
        return leaf::new_error(fieldError);
    FieldReader reader(object, {}, fieldError);
    StoredResource stored;
    stored.document = readDocument(reader);
    stored.operationId = reader.text("operationId", true);
    reader.finish();
    if (fieldError.any())
        return leaf::new_error(fieldError);
    return stored;
}

leaf::result<void> addToResources(Resources& resources, const ResourceDocument& document)
{
    FieldError fieldError;
    if (document.kind == "Service")
        resources.services[document.name] = readService(document.name, document.spec, fieldError);
    else if (document.kind == "BackendServer")
        resources.servers[document.name] = readServer(document.name, document.spec, fieldError);
    else if (document.kind == "Placement")
        resources.placements[document.name] = readPlacement(document.name, document.spec, fieldError);
    else
        readEvacuation(resources, document, fieldError);
    if (fieldError.any())
        return leaf::new_error(fieldError);
    return {};
}

json::object toJson(const ResourceDocument& document)
{
    json::object object;
    object["kind"] = document.kind;
    object["name"] = document.name;
    object["spec"] = document.spec;
    return object;
}

std::string encodeStoredResource(const StoredResource& stored)
{
    json::object object = toJson(stored.document);
    object["operationId"] = stored.operationId;
    return json::serialize(object);
}

leaf::result<void> checkEvacuation(const Resources& resources, std::string_view dataCentre)
{
    for (const auto& [name, server] : resources.servers) {
        if (server.dataCentre == dataCentre)
            return {};
    }
    return leaf::new_error(FieldError { "Evacuation name", "the data centre of a declared BackendServer" });
}

leaf::result<void> checkReferences(const Resources& resources)
{
    for (const auto& [name, server] : resources.servers) {
        if (!resources.services.count(server.service))
            return leaf::new_error(
                FieldError { "BackendServer/" + name + " spec.service", "the name of a declared Service" });
    }
    for (const auto& [name, placement] : resources.placements) {
        if (!resources.services.count(placement.service))
            return leaf::new_error(
                FieldError { "Placement/" + name + " spec.service", "the name of a declared Service" });
        for (const auto& server : placement.servers) {
            const auto found = resources.servers.find(server);
            if (found == resources.servers.end() || found->second.service != placement.service)
                return leaf::new_error(FieldError { "Placement/" + name + " spec.servers",
                    "names of BackendServers of the same service; '" + server + "' is not one" });
        }
    }
    for (const auto& [name, service] : resources.services) {
        for (const auto& [other, another] : resources.services) {
            if (name < other && service.pathPrefix == another.pathPrefix)
                return leaf::new_error(FieldError { "Service/" + other + " spec.pathPrefix",
                    "a unique path prefix; " + name + " already uses this one" });
        }
    }
    return {};
}

}
