// The answers that the system makes itself, from the one table of kinds.
#pragma once

#include "base/ErrorKind.h"
#include "base/Metrics.h"
#include "callers/CallerServer.h"

namespace cumindale {

// Whole seconds are what RFC 9110 allows; some platforms' clients also read fractions.
enum class RetryAfterFormat : uint8_t { WholeSeconds, FractionalSeconds };

class ErrorResponses {
public:
    explicit ErrorResponses(Metrics& metrics, RetryAfterFormat format = RetryAfterFormat::WholeSeconds)
        : m_metrics(metrics)
        , m_format(format)
    {
    }

    // `maybeRan`: an earlier try of the same request may have run, whatever the last one says.
    CallerResponse make(ErrorKind, Millis retryAfter, bool maybeRan) const;

private:
    Metrics& m_metrics;
    RetryAfterFormat m_format;
};

// At least the time, at most twice it: callers that were refused together don't come back together.
Millis withJitter(Millis);

}
