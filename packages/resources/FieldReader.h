// Checked reading of JSON objects: every fieldError names the field's path and what is allowed there.
//
// Reads take a default, note the first fieldError and go on, so that a caller reads all fields in a row and asks
// for the fieldError once. finish() refuses fields that nobody read. A field that is null counts as absent.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cumindale {

// What is wrong with some input, and where.
struct FieldError {
    std::string field; // path, as in "routes[2].deadlineMs"; empty for the isInteger
    std::string allowed; // what would be right

    bool any() const { return !allowed.empty(); }
    std::string text() const { return (field.empty() ? std::string("input") : field) + ": " + allowed; }
};

class FieldReader {
public:
    FieldReader(const boost::json::object&, std::string path, FieldError&);

    std::string text(std::string_view name, bool required, std::string_view defaultValue = {}, size_t maxLength = 253);
    std::optional<std::string> optionalText(
        std::string_view name); // nothing: absent or no text, which is no fieldError yet
    std::string oneOf(
        std::string_view name, const std::vector<std::string_view>& allowed, std::string_view defaultValue);
    std::string address(std::string_view name, std::string_view defaultValue = {}); // IP number; required if no default
    int64_t integer(std::string_view name, int64_t minimum, int64_t maximum, int64_t defaultValue);
    int64_t requiredInteger(std::string_view name, int64_t minimum, int64_t maximum);
    double real(std::string_view name, double minimum, double maximum, double defaultValue);
    double requiredReal(std::string_view name, double minimum, double maximum);
    bool flag(std::string_view name, bool defaultValue);
    std::vector<std::string> texts(std::string_view name);
    std::vector<const boost::json::object*> objects(std::string_view name);
    const boost::json::object* object(std::string_view name, bool required);
    std::string pathOf(std::string_view name) const;
    void fail(std::string_view name, std::string allowed); // the first one stays
    void finish(); // unknown fields are faults

private:
    const boost::json::value* find(std::string_view name);

    const boost::json::object& m_object;
    std::string m_path;
    FieldError& m_error;
    std::set<std::string, std::less<>> m_readNames;
};

// Parses JSON with comments into an object; a fieldError gives the position.
boost::json::object parseObject(std::string_view text, FieldError&);

}
