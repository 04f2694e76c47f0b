// Checked reading of JSON objects: every fault names the field's path and what is allowed there.
//
// Reads take a default, note the first fault and go on, so that a caller reads all fields in a row and asks
// for the fault once. finish() refuses fields that nobody read. A field that is null counts as absent.
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
struct FieldFault {
    std::string field; // path, as in "routes[2].deadlineMs"; empty for the whole
    std::string allowed; // what would be right

    bool any() const { return !allowed.empty(); }
    std::string text() const { return (field.empty() ? std::string("input") : field) + ": " + allowed; }
};

class FieldReader {
public:
    FieldReader(const boost::json::object&, std::string path, FieldFault&);

    std::string text(std::string_view name, bool required, std::string_view otherwise = {}, size_t longest = 253);
    std::optional<std::string> textIfAny(std::string_view name); // nothing: absent or no text, which is no fault yet
    std::string oneOf(std::string_view name, const std::vector<std::string_view>& allowed, std::string_view otherwise);
    std::string address(std::string_view name, std::string_view otherwise = {}); // IP number; required if no default
    int64_t number(std::string_view name, int64_t least, int64_t most, int64_t otherwise);
    int64_t requiredNumber(std::string_view name, int64_t least, int64_t most);
    double ratio(std::string_view name, double least, double most, double otherwise);
    double requiredRatio(std::string_view name, double least, double most);
    bool flag(std::string_view name, bool otherwise);
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
    FieldFault& m_fault;
    std::set<std::string, std::less<>> m_known;
};

// Parses JSON with comments into an object; a fault gives the position.
boost::json::object parseObject(std::string_view text, FieldFault&);

}
