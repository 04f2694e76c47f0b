#include "resources/FieldReader.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/stream_parser.hpp>

namespace cumindale {

namespace json = boost::json;

FieldReader::FieldReader(const json::object& object, std::string path, FieldError& fieldError)
    : m_object(object)
    , m_path(std::move(path))
    , m_error(fieldError)
{
}

std::string FieldReader::pathOf(std::string_view name) const
{
    return m_path.empty() ? std::string(name) : m_path + "." + std::string(name);
}

void FieldReader::fail(std::string_view name, std::string allowed)
{
    if (!m_error.any())
        m_error = { pathOf(name), std::move(allowed) };
}

const json::value* FieldReader::find(std::string_view name)
{
    m_readNames.insert(std::string(name));
    const json::value* value = m_object.if_contains(name);
    return value && value->is_null() ? nullptr : value;
}

std::optional<std::string> FieldReader::optionalText(std::string_view name)
{
    const json::value* value = find(name);
    const auto* found = value ? value->if_string() : nullptr;
    return found ? std::optional<std::string>(std::in_place, *found) : std::nullopt;
}

std::string FieldReader::text(std::string_view name, bool required, std::string_view defaultValue, size_t maxLength)
{
    const json::value* value = find(name);
    if (!value) {
        if (required)
            fail(name, "required, a string");
        return std::string(defaultValue);
    }
    const auto* found = value->if_string();
    if (!found || found->size() > maxLength || (required && found->empty())) {
        fail(name, "a string of at most " + std::to_string(maxLength) + " characters");
        return std::string(defaultValue);
    }
    const bool printable
        = std::all_of(found->begin(), found->end(), [](unsigned char c) { return c >= 0x20 && c != 0x7f; });
    if (!printable)
        fail(name, "a string without control characters");
    return std::string(*found);
}

std::string FieldReader::oneOf(
    std::string_view name, const std::vector<std::string_view>& allowed, std::string_view defaultValue)
{
    std::string found = text(name, defaultValue.empty(), defaultValue);
    if (std::find(allowed.begin(), allowed.end(), found) != allowed.end())
        return found;
    std::string list;
    for (const auto choice : allowed)
        list += (list.empty() ? "one of " : ", ") + std::string(choice);
    fail(name, list);
    return std::string(defaultValue);
}

std::string FieldReader::address(std::string_view name, std::string_view defaultValue)
{
    std::string found = text(name, defaultValue.empty(), defaultValue);
    boost::system::error_code error;
    boost::asio::ip::make_address(found, error);
    if (error)
        fail(name, "an IP address, such as 10.0.0.1 or ::1");
    return found;
}

int64_t FieldReader::integer(std::string_view name, int64_t minimum, int64_t maximum, int64_t defaultValue)
{
    const json::value* value = find(name);
    if (!value)
        return defaultValue;
    boost::system::error_code error;
    const bool isInteger = value->is_int64() || value->is_uint64();
    const auto found = isInteger ? value->to_number<int64_t>(error) : 0;
    if (!isInteger || error || found < minimum || found > maximum) {
        fail(name, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return defaultValue;
    }
    return found;
}

int64_t FieldReader::requiredInteger(std::string_view name, int64_t minimum, int64_t maximum)
{
    if (!find(name))
        fail(name, "required, a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return integer(name, minimum, maximum, minimum);
}

double FieldReader::real(std::string_view name, double minimum, double maximum, double defaultValue)
{
    const json::value* value = find(name);
    if (!value)
        return defaultValue;
    boost::system::error_code error;
    const double found = value->is_number() ? value->to_number<double>(error) : minimum - 1;
    if (error || !(found >= minimum && found <= maximum)) {
        fail(name, "a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return defaultValue;
    }
    return found;
}

double FieldReader::requiredReal(std::string_view name, double minimum, double maximum)
{
    if (!find(name))
        fail(name, "required, a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return real(name, minimum, maximum, minimum);
}

bool FieldReader::flag(std::string_view name, bool defaultValue)
{
    const json::value* value = find(name);
    if (!value)
        return defaultValue;
    if (!value->is_bool()) {
        fail(name, "true or false");
        return defaultValue;
    }
    return value->get_bool();
}

std::vector<std::string> FieldReader::texts(std::string_view name)
{
    std::vector<std::string> found;
    const json::value* value = find(name);
    if (!value)
        return found;
    if (!value->is_array()) {
        fail(name, "a list of strings");
        return found;
    }
    for (const auto& item : value->get_array()) {
        if (!item.is_string())
            fail(std::string(name) + "[" + std::to_string(found.size()) + "]", "a string");
        found.emplace_back(item.is_string() ? std::string(item.get_string()) : std::string());
    }
    return found;
}

std::vector<const json::object*> FieldReader::objects(std::string_view name)
{
    std::vector<const json::object*> found;
    const json::value* value = find(name);
    if (!value)
        return found;
    if (!value->is_array()) {
        fail(name, "a list of objects");
        return found;
    }
    size_t index = 0;
    for (const auto& item : value->get_array()) {
        if (item.is_object())
            found.push_back(&item.get_object());
        else
            fail(std::string(name) + "[" + std::to_string(index) + "]", "an object");
        ++index;
    }
    return found;
}

const json::object* FieldReader::object(std::string_view name, bool required)
{
    const json::value* value = find(name);
    if (value && value->is_object())
        return &value->get_object();
    if (value || required)
        fail(name, "an object");
    return nullptr;
}

void FieldReader::finish()
{
    for (const auto& field : m_object) {
        if (!m_readNames.count(std::string_view(field.key())))
            fail(std::string_view(field.key()), "unknown field; remove it or correct its spelling");
    }
}

json::object parseObject(std::string_view text, FieldError& fieldError)
{
    json::parse_options options;
    options.allow_comments = true;
    json::stream_parser parser({}, options);
    boost::system::error_code error;
    // Boost.JSON 1.81 returns a length far beyond the end of the text when parsing fails after a '/' that starts no
    // comment, such as "/8".
    const size_t used = std::min(parser.write_some(text.data(), text.size(), error), text.size());
    if (!error && used == text.size())
        parser.finish(error);
    if (error || used != text.size()) {
        const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<ptrdiff_t>(used), '\n');
        fieldError = { {},
            "not JSON (comments are allowed): line " + std::to_string(line) + ", "
                + (error ? error.message() : std::string("unexpected text after the object")) };
        return {};
    }
    const json::value value = parser.release();
    if (!value.is_object()) {
        fieldError = { {}, "must be one JSON object" };
        return {};
    }
    return value.get_object();
}

}
