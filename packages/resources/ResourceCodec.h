// The JSON form of resources, its checks, and the keys under which the store holds them.
//
//     {"kind": "Service", "name": "tracing", "spec": {...}}
//
// Unknown fields, values out of range and dangling references are refused with the field's path. See
// docs/OPERATIONS.md for every field.
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

// One resource as an operator wrote it: checked by itself, not yet against others.
struct ResourceDocument {
    std::string kind; // Service, BackendServer or Placement
    std::string name;
    boost::json::object spec;
};

// A resource as the store holds it: the document and the operation that wrote it, which tells a writer whose
// answer was lost whether its write took effect.
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
boost::leaf::result<void> addToResources(Resources&, const ResourceDocument&); // replaces one of the same name
// An evacuation that is to be declared. Not a reference: its servers may go while it stands.
boost::leaf::result<void> checkEvacuation(const Resources&, std::string_view dataCentre);
boost::leaf::result<void> checkReferences(const Resources&);

std::string encodeStoredResource(const StoredResource&);
boost::json::object toJson(const ResourceDocument&);
std::string_view kindOfKey(std::string_view key); // of a resource key; empty for other keys
bool isKind(std::string_view kind);

// Runs a checked step and hands out its fieldError, if any.
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
