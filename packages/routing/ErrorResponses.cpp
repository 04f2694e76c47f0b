#include "routing/ErrorResponses.h"

#include "base/Random.h"
#include "routing/RequestHeaders.h"

#include <boost/beast/http.hpp>

namespace cumindale {

namespace http = boost::beast::http;

namespace {

    std::string retryAfterText(RetryAfterFormat format, Millis time)
    {
        if (format == RetryAfterFormat::WholeSeconds)
            return std::to_string((time.count() + 999) / 1000);
        std::string millis = std::to_string(time.count() % 1000);
        millis.insert(0, 3 - millis.size(), '0');
        return std::to_string(time.count() / 1000) + "." + millis;
    }

}

Millis withJitter(Millis time) { return time + randomUpTo(time); }

CallerResponse ErrorResponses::make(ErrorKind kind, Millis retryAfter, bool maybeRan) const
{
    const ErrorInfo& answer = errorInfo(kind);
    // `Cumindale-Ran` covers all attempts: an earlier one may have run although the last one certainly did not.
    const std::string ran(toString(maybeRan && answer.ran == Ran::No ? Ran::Unknown : answer.ran));
    const std::string name(answer.name);
    m_metrics.counter("answers_" + name).add();
    CallerResponse response { http::int_to_status(answer.status), 11 };
    response.set(errorHeader, name);
    response.set(ranHeader, ran);
    response.set(http::field::content_type, "application/json");
    if (answer.retryAfter) {
        response.set(http::field::retry_after, retryAfterText(m_format, retryAfter));
        response.set("Cumindale-Retry-After-Ms", std::to_string(retryAfter.count()));
    }
    response.body() = R"({"error":")" + name + R"(","ran":")" + ran + "\"}\n";
    return response;
}

}
