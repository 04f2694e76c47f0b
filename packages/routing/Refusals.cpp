#include "routing/Refusals.h"

#include "base/Random.h"
#include "routing/RequestHeaders.h"

#include <boost/beast/http.hpp>

namespace cumindale {

namespace http = boost::beast::http;

namespace {

    std::string retryAfterText(RetryAfterForm form, Millis time)
    {
        if (form == RetryAfterForm::WholeSeconds)
            return std::to_string((time.count() + 999) / 1000);
        std::string millis = std::to_string(time.count() % 1000);
        millis.insert(0, 3 - millis.size(), '0');
        return std::to_string(time.count() / 1000) + "." + millis;
    }

}

Millis spread(Millis time) { return time + randomBelow(time); }

CallerResponse Refusals::make(ErrorKind kind, Millis retryAfter, bool maybeRan) const
{
    const ErrorAnswer& row = answerFor(kind);
    // The last try may surely not have run while an earlier one may have: the answer speaks for all tries.
    const std::string ran(toString(maybeRan && row.ran == Ran::No ? Ran::Unknown : row.ran));
    const std::string name(row.name);
    m_metrics.counter("answers_" + name).add();
    CallerResponse response { http::int_to_status(row.status), 11 };
    response.set(errorHeader, name);
    response.set(ranHeader, ran);
    response.set(http::field::content_type, "application/json");
    if (row.retryAfter) {
        response.set(http::field::retry_after, retryAfterText(m_form, retryAfter));
        response.set("Cumindale-Retry-After-Ms", std::to_string(retryAfter.count()));
    }
    response.body() = R"({"error":")" + name + R"(","ran":")" + ran + "\"}\n";
    return response;
}

}
