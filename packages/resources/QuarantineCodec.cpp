#include "resources/QuarantineCodec.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "resources/ResourceCodec.h"

#include <boost/json.hpp>
#include <charconv>

namespace cumindale {

namespace json = boost::json;

std::string quarantineKey() { return std::string(storePrefix) + "quarantine"; }

std::string formatFingerprint(Fingerprint request) { return formatPoint(request); }

std::optional<Fingerprint> parseFingerprint(std::string_view text)
{
    constexpr int hexadecimal = 16;
    Fingerprint request = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), request, hexadecimal);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return request;
}

std::string encodeQuarantine(std::span<const QuarantinedRequest> requests, Instant now, int64_t unixMillis)
{
    json::array entries;
    for (const auto& request : requests) {
        json::object entry;
        entry["request"] = formatFingerprint(request.request);
        entry["crashes"] = request.crashes;
        entry["since"] = unixMillis - (now - request.since).count();
        entry["until"] = unixMillis + (request.until - now).count();
        entries.push_back(std::move(entry));
    }
    return json::serialize(entries);
}

std::vector<QuarantinedRequest> decodeQuarantine(std::string_view text, Instant now, int64_t unixMillis)
{
    std::vector<QuarantinedRequest> requests;
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    const bool isList = !error && value.is_array();
    if (!isList)
        logChange(LogLevel::Error, "quarantine-refused", { { "why", "not a JSON array" } });
    for (const auto& item : isList ? value.get_array() : json::array {}) {
        try {
            const json::object& entry = item.as_object();
            const auto request = parseFingerprint(std::string_view(entry.at("request").as_string()));
            if (!request)
                throw std::invalid_argument("invalid fingerprint");
            const Millis since(unixMillis - entry.at("since").to_number<int64_t>());
            const Millis left(entry.at("until").to_number<int64_t>() - unixMillis);
            requests.push_back({ *request, entry.at("crashes").to_number<unsigned>(), now - since, now + left });
        } catch (const std::exception& why) {
            logChange(LogLevel::Error, "quarantine-refused", { { "why", why.what() } });
        }
    }
    return requests;
}

}
