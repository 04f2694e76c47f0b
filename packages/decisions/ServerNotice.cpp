#include "decisions/ServerNotice.h"

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

    void readRest(std::string_view text, ServerNotice& notice)
    {
        if (text.empty())
            return;
        double seconds = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
        const bool number = error == std::errc() && end == text.data() + text.size() && std::isfinite(seconds);
        if (!number || seconds < 0 || seconds > longestRestSeconds) {
            notice.odd = true;
            return;
        }
        notice.rest = Millis(static_cast<int64_t>(std::ceil(seconds * 1000)));
    }

}

ServerNotice noticeIn(unsigned status, std::string_view leaving, std::string_view retryAfter)
{
    ServerNotice notice;
    readLeaving(trimmed(leaving), notice);
    if (status == serviceUnavailable)
        readRest(trimmed(retryAfter), notice);
    return notice;
}

}
