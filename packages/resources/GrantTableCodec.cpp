#include "resources/GrantTableCodec.h"

#include "resources/ResourceCodec.h"

#include <boost/json.hpp>

namespace cumindale {

namespace json = boost::json;

namespace {

    constexpr size_t stableRangeFields = 4;
    constexpr size_t movingRangeFields = 7;

    const std::string& prefix()
    {
        static const std::string text = std::string(storePrefix) + "grants/";
        return text;
    }

    json::array encodeRange(const KeyRange& range)
    {
        json::array fields { range.first, range.last, range.holder, range.fence };
        if (range.moving()) {
            fields.emplace_back(range.next);
            fields.emplace_back(range.nextFence);
            fields.emplace_back(static_cast<int>(range.holderState));
        }
        return fields;
    }

    KeyRange decodeRange(const json::array& fields)
    {
        KeyRange range;
        range.first = fields.at(0).to_number<uint32_t>();
        range.last = fields.at(1).to_number<uint32_t>();
        range.holder = fields.at(2).as_string();
        range.fence = fields.at(3).to_number<uint64_t>();
        if (fields.size() >= movingRangeFields) {
            range.next = fields.at(stableRangeFields).as_string();
            range.nextFence = fields.at(stableRangeFields + 1).to_number<uint64_t>();
            const auto state = fields.at(stableRangeFields + 2).to_number<unsigned>();
            if (state > static_cast<unsigned>(HolderState::Unreachable))
                throw std::out_of_range("holder state");
            range.holderState = static_cast<HolderState>(state);
        }
        return range;
    }

    std::vector<KeyRange> decodeRanges(const json::object& object)
    {
        std::vector<KeyRange> ranges;
        for (const auto& range : object.at("ranges").as_array())
            ranges.push_back(decodeRange(range.as_array()));
        return ranges;
    }

    // Returns nullopt if the text is not JSON, a field is missing or has the wrong type, or `read` rejects the value.
    template <typename Value, typename Read> std::optional<Value> decodeWith(std::string_view text, Read&& read)
    {
        boost::system::error_code error;
        const json::value value = json::parse(text, error);
        if (error)
            return std::nullopt;
        try {
            Value decoded;
            if (read(value.as_object(), decoded))
                return decoded;
        } catch (const std::exception&) {
            return std::nullopt;
        }
        return std::nullopt;
    }

    bool coversAllKeys(const GrantTable& table)
    {
        uint32_t expected = 0;
        for (const auto& range : table.ranges) {
            if (range.first != expected || range.last < range.first || range.last >= keySpaceSize)
                return false;
            expected = range.last + 1;
        }
        return expected == keySpaceSize;
    }

}

std::string encodeGrantTable(const GrantTable& table)
{
    json::array ranges;
    for (const auto& range : table.ranges)
        ranges.push_back(encodeRange(range));
    json::object object;
    object["service"] = table.service;
    object["term"] = table.edition.term;
    object["edition"] = table.edition.edition;
    object["coordinator"] = table.coordinator;
    object["highestFence"] = table.highestFence;
    object["longestLeaseMs"] = table.longestLease.count();
    object["ranges"] = std::move(ranges);
    return json::serialize(object);
}

std::optional<GrantTable> decodeGrantTable(std::string_view text)
{
    return decodeWith<GrantTable>(text, [](const json::object& object, GrantTable& table) {
        table.service = object.at("service").as_string();
        table.edition.term = object.at("term").to_number<int64_t>();
        table.edition.edition = object.at("edition").to_number<uint64_t>();
        if (const auto* coordinator = object.if_contains("coordinator"))
            table.coordinator = coordinator->as_string();
        table.highestFence = object.at("highestFence").to_number<uint64_t>();
        if (const auto* lease = object.if_contains("longestLeaseMs"))
            table.longestLease = Millis(lease->to_number<int64_t>());
        table.ranges = decodeRanges(object);
        return coversAllKeys(table);
    });
}

std::string encodeGrantChange(const GrantTableChange& change)
{
    json::array ranges;
    for (const auto& range : change.ranges)
        ranges.push_back(encodeRange(range));
    json::object object;
    object["service"] = change.service;
    object["term"] = change.to.term;
    object["edition"] = change.to.edition;
    object["fromTerm"] = change.from.term;
    object["fromEdition"] = change.from.edition;
    object["ranges"] = std::move(ranges);
    return json::serialize(object);
}

std::optional<GrantTableChange> decodeGrantChange(std::string_view text)
{
    return decodeWith<GrantTableChange>(text, [](const json::object& object, GrantTableChange& change) {
        change.service = object.at("service").as_string();
        change.to.term = object.at("term").to_number<int64_t>();
        change.to.edition = object.at("edition").to_number<uint64_t>();
        change.from.term = object.at("fromTerm").to_number<int64_t>();
        change.from.edition = object.at("fromEdition").to_number<uint64_t>();
        change.ranges = decodeRanges(object);
        return true;
    });
}

std::string grantTableKey(std::string_view service) { return prefix() + std::string(service); }

bool isGrantTableKey(std::string_view key) { return key.starts_with(prefix()); }

std::string listedHostsKey() { return std::string(storePrefix) + "hosts"; }

std::string encodeListedHosts(const std::set<std::string, std::less<>>& hosts)
{
    json::array names;
    for (const auto& host : hosts)
        names.emplace_back(host);
    return json::serialize(names);
}

std::set<std::string, std::less<>> decodeListedHosts(std::string_view text)
{
    std::set<std::string, std::less<>> hosts;
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_array())
        return hosts;
    for (const auto& name : value.get_array()) {
        if (name.is_string())
            hosts.insert(std::string(name.get_string()));
    }
    return hosts;
}

}
