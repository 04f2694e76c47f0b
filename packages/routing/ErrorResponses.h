// Builds the error responses that a host itself sends to callers, from the table in base/ErrorKind.h.
#pragma once

#include "base/ErrorKind.h"
#include "base/Metrics.h"
#include "callers/CallerServer.h"

namespace cumindale {

// Format of the Retry-After header. RFC 9110 allows whole seconds only; the clients of some platforms also accept
// fractions.
enum class RetryAfterFormat : uint8_t { WholeSeconds, FractionalSeconds };

class ErrorResponses {
public:
    explicit ErrorResponses(Metrics& metrics, RetryAfterFormat format = RetryAfterFormat::WholeSeconds)
        : m_metrics(metrics)
        , m_format(format)
    {
    }

    // `maybeRan`: an earlier attempt of the same request may have run, even if the last attempt certainly did not.
    CallerResponse make(ErrorKind, Millis retryAfter, bool maybeRan) const;

private:
    Metrics& m_metrics;
    RetryAfterFormat m_format;
};

// Adds a random delay of up to the given time, so that callers that were refused at once don't all retry at once.
Millis withJitter(Millis);

}
