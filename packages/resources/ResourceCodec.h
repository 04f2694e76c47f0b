// JSON encoding and validation of resources, and the keys under which the store holds them.
//
//     {"kind": "Service", "name": "tracing", "spec": {...}}
//
// Unknown fields, values out of range and references to undeclared resources are rejected with the field's path.
// docs/OPERATIONS.md describes every field.
#pragma once

#include "decisions/Resources.h"
#include "resources/FieldReader.h"

#include <boost/json/object.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace cumindale {

// One resource as written by an operator. Its own fields are validated, its references to other resources are not.
struct ResourceDocument {
    std::string kind; // Service, BackendServer, Placement or Evacuation
    std::string name;
    boost::json::object spec;
};

// A resource as held by the store: the document and the ID of the operation that wrote it. A writer that lost the
// response to its write uses the ID to find out whether the write took effect.
struct StoredResource {
    ResourceDocument document;
    std::string operationId;
};

constexpr std::string_view storePrefix = "cumindale/";
std::string resourceKey(std::string_view kind, std::string_view name); // in the store
std::string tableKey(std::string_view service);
std::string rosterKey();
std::string leaderKey();

// Each fails with a FieldError.
boost::leaf::result<ResourceDocument> parseDocument(std::string_view text);
boost::leaf::result<StoredResource> parseStoredResource(std::string_view text);
boost::leaf::result<void> addToResources(Resources&, const ResourceDocument&); // replaces a resource of the same name
// Checks that the data centre of a new evacuation has servers. Not part of checkReferences(), since the servers may be
// removed while the evacuation is in force.
boost::leaf::result<void> checkEvacuation(const Resources&, std::string_view dataCentre);
boost::leaf::result<void> checkReferences(const Resources&);

std::string encodeStoredResource(const StoredResource&);
boost::json::object toJson(const ResourceDocument&);
std::string_view kindOfKey(std::string_view key); // empty if the key is not a resource key
bool isKind(std::string_view kind);

// Runs a validation step and returns its error, if any.
template <typename Step> std::optional<FieldError> fieldErrorOf(Step&& step)
{
    std::optional<FieldError> fieldError;
    boost::leaf::try_handle_all([&]() -> boost::leaf::result<void> { return step(); },
        [&](const FieldError& found) { fieldError = found; },
        [&] {
            fieldError = FieldError { {}, "could not be checked" };
        });
    return fieldError;
}

}
