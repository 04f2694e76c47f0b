// Reads and validates the fields of JSON objects. Each error names the path of the field and the values allowed there.
//
// A read that fails returns its default value. Only the first error is kept, so that callers can read all fields in a
// row and check for an error once. finish() reports fields that were never read. A null field counts as absent.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

// A validation error: the field and what is allowed there.
struct FieldError {
    std::string field; // path, such as "routes[2].deadlineMs"; empty for the whole input
    std::string allowed; // description of the allowed values; empty if there is no error

    bool any() const { return !allowed.empty(); }
    std::string text() const { return (field.empty() ? std::string("input") : field) + ": " + allowed; }
};

class FieldReader {
public:
    FieldReader(const boost::json::object&, std::string path, FieldError&);

    std::string text(std::string_view name, bool required, std::string_view defaultValue = {}, size_t maxLength = 253);
    // Returns nullopt and reports no error if the field is absent or not a string.
    std::optional<std::string> optionalText(std::string_view name);
    std::string oneOf(
        std::string_view name, const std::vector<std::string_view>& allowed, std::string_view defaultValue);
    // Reads an IP address, which is required if there is no default.
    std::string address(std::string_view name, std::string_view defaultValue = {});
    int64_t integer(std::string_view name, int64_t minimum, int64_t maximum, int64_t defaultValue);
    int64_t requiredInteger(std::string_view name, int64_t minimum, int64_t maximum);
    double real(std::string_view name, double minimum, double maximum, double defaultValue);
    double requiredReal(std::string_view name, double minimum, double maximum);
    bool flag(std::string_view name, bool defaultValue);
    std::vector<std::string> texts(std::string_view name);
    std::vector<const boost::json::object*> objects(std::string_view name);
    const boost::json::object* object(std::string_view name, bool required);
    std::string pathOf(std::string_view name) const;
    void fail(std::string_view name, std::string allowed); // later errors are ignored
    void finish(); // reports the first field that was not read

private:
    const boost::json::value* find(std::string_view name);

    const boost::json::object& m_object;
    std::string m_path;
    FieldError& m_error;
    std::set<std::string, std::less<>> m_readNames;
};

// Parses a JSON object; comments are allowed. A syntax error is reported with its line.
boost::json::object parseObject(std::string_view text, FieldError&);

}
