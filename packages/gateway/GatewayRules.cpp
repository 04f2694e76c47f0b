// The part of the Gateway that answers by the operators' document alone, as far as it may be the newest.
#include "gateway/Gateway.h"

#include "routing/ErrorResponses.h"
#include "routing/RequestHeaders.h"

#include <boost/beast/http.hpp>

namespace cumindale {

namespace http = boost::beast::http;

RequestPolicy Gateway::requestPolicy(const CallerHeader& header)
{
    if (!m_rules)
        return { ErrorKind::NotFresh, 0 };
    const HostRoute* route = m_rules->match(hostOf(header[http::field::host]), pathOf(header.target()));
    if (!route)
        return { ErrorKind::UnknownService, 0 };
    // Its body may take longer still.
    const Instant now = m_clock.now();
    if (!maySend(now, now + std::min(callerTimeout(header, *route), route->timeout)))
        return { ErrorKind::ShuttingDown, 0 };
    return { ErrorKind::None, m_rules->bounds.bodyBytes, route->idempotent() };
}

// The first host of a forwarded request has found it to be proper by rules that may be newer than the ones here.
ErrorKind Gateway::confirmedError(ErrorKind error, bool forwarded) const
{
    const bool isFinal = !forwarded && m_rules && m_rulesValidity.holds(m_rules->revision, m_clock.now());
    return errorInfo(error).restsOnRules && !isFinal ? ErrorKind::NotFresh : error;
}

CallerResponse Gateway::errorResponse(ErrorKind kind, const CallerHeader& header)
{
    return refuseUnhandled(confirmedError(kind, false), header);
}

CallerResponse Gateway::refuseUnhandled(ErrorKind kind, const CallerHeader& header)
{
    if (m_log.mayLog(kind))
        m_log.writeUnhandled({ kind, header[m_names.requestId], hostOf(header[http::field::host]),
            m_rules ? m_rules->version : 0, rulesAgeMillis() });
    return ErrorResponses(m_metrics, RetryAfterFormat::FractionalSeconds)
        .make(kind, withJitter(m_options.moveWait), false);
}

int64_t Gateway::rulesAgeMillis() const
{
    const Instant confirmedAt = m_rulesValidity.confirmedAt;
    return confirmedAt == Instant {} ? -1 : (m_clock.now() - confirmedAt).count();
}

}
