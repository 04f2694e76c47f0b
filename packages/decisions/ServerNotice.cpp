#include "decisions/ServerNotice.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cumindale {

namespace {

    constexpr unsigned serviceUnavailable = 503;
    // A longer one is a mistake: it would take the server out of service until somebody notices.
    constexpr double longestRestSeconds = 600;

    std::string_view trimmed(std::string_view text)
    {
        constexpr std::string_view blanks = " \t";
        const auto first = text.find_first_not_of(blanks);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(blanks) - first + 1);
    }

    void readLeaving(std::string_view text, ServerNotice& notice)
    {
        notice.leaves = text == "1";
        notice.odd |= !notice.leaves && !text.empty() && text != "0";
    }

    // Finite and not below 0.
    std::optional<double> numberIn(std::string_view text)
    {
        double number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        const bool whole = error == std::errc() && end == text.data() + text.size();
        if (!whole || !std::isfinite(number) || number < 0)
            return std::nullopt;
        return number;
    }

    void readRest(std::string_view text, ServerNotice& notice)
    {
        if (text.empty())
            return;
        const auto seconds = numberIn(text);
        if (!seconds || *seconds > longestRestSeconds) {
            notice.odd = true;
            return;
        }
        notice.rest = Millis(static_cast<int64_t>(std::ceil(*seconds * 1000)));
    }

    void readLimit(std::string_view text, ServerNotice& notice)
    {
        if (text.empty())
            return;
        for (size_t from = 0; from <= text.size();) {
            const size_t comma = std::min(text.find(',', from), text.size());
            const auto perSecond = numberIn(trimmed(text.substr(from, comma - from)));
            notice.odd |= !perSecond;
            if (perSecond && (!notice.limit || *perSecond < *notice.limit))
                notice.limit = perSecond;
            from = comma + 1;
        }
        notice.limitUnclear = !notice.limit;
    }

}

ServerNotice noticeIn(unsigned status, std::string_view leaving, std::string_view retryAfter, std::string_view limit)
{
    ServerNotice notice;
    readLeaving(trimmed(leaving), notice);
    if (status == serviceUnavailable)
        readRest(trimmed(retryAfter), notice);
    readLimit(trimmed(limit), notice);
    return notice;
}

}
