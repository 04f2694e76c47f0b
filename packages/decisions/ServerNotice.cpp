#include "decisions/ServerNotice.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cumindale {

namespace {

    constexpr unsigned serviceUnavailable = 503;
    // A longer time is taken for a mistake: it would keep the server out of service until an operator notices.
    constexpr double maxRetryAfterSeconds = 600;

    std::string_view trimmed(std::string_view text)
    {
        constexpr std::string_view whitespace = " \t";
        const auto first = text.find_first_not_of(whitespace);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
    }

    void parseLeaving(std::string_view text, ServerNotice& notice)
    {
        notice.leaving = text == "1";
        notice.malformed |= !notice.leaving && !text.empty() && text != "0";
    }

    // The number in `text` if it is finite and not negative.
    std::optional<double> parseNumber(std::string_view text)
    {
        double number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        const bool whole = error == std::errc() && end == text.data() + text.size();
        if (!whole || !std::isfinite(number) || number < 0)
            return std::nullopt;
        return number;
    }

    void parseRetryAfter(std::string_view text, ServerNotice& notice)
    {
        if (text.empty())
            return;
        const auto seconds = parseNumber(text);
        if (!seconds || *seconds > maxRetryAfterSeconds) {
            notice.malformed = true;
            return;
        }
        notice.retryAfter = Millis(static_cast<int64_t>(std::ceil(*seconds * 1000)));
    }

    void parseLimit(std::string_view text, ServerNotice& notice)
    {
        if (text.empty())
            return;
        for (size_t from = 0; from <= text.size();) {
            const size_t comma = std::min(text.find(',', from), text.size());
            const auto perSecond = parseNumber(trimmed(text.substr(from, comma - from)));
            notice.malformed |= !perSecond;
            if (perSecond && (!notice.limit || *perSecond < *notice.limit))
                notice.limit = perSecond;
            from = comma + 1;
        }
        notice.limitUnreadable = !notice.limit;
    }

}

ServerNotice parseServerNotice(
    unsigned status, std::string_view leaving, std::string_view retryAfter, std::string_view limit)
{
    ServerNotice notice;
    parseLeaving(trimmed(leaving), notice);
    if (status == serviceUnavailable)
        parseRetryAfter(trimmed(retryAfter), notice);
    parseLimit(trimmed(limit), notice);
    return notice;
}

}
