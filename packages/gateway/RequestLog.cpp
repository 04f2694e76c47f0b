#include "gateway/RequestLog.h"

#include "backends/ServerPool.h"
#include "base/Log.h"
#include "gateway/GatewayJob.h"
#include "gateway/RequestCrashes.h"
#include "resources/QuarantineCodec.h"

#include <boost/json/object.hpp>
#include <utility>

namespace cumindale {

namespace {

    constexpr double linesPerSecond = 100; // about 30 kB/s, and 1% of a small host's processor time
    constexpr double burst = 200;

}

RequestLog::RequestLog(const Clock& clock, Metrics& metrics, const RequestCrashes& crashes)
    : m_clock(clock)
    , m_crashes(crashes)
    , m_metrics(metrics)
    , m_staleResponses(metrics.counter("server_responses_stale"))
    , m_lines(errorKindCount, linesPerSecond, burst)
{
}

bool RequestLog::mayLog(ErrorKind kind)
{
    if (m_lines.take(static_cast<size_t>(kind), m_clock.now()))
        return true;
    ++m_droppedLines;
    m_metrics.counter("log_lines_left_out").add();
    return false;
}

void RequestLog::writeUnhandled(const UnhandledRequest& request)
{
    const ErrorInfo& info = errorInfo(request.error);
    logChange(LogLevel::Info, "request-refused",
        { { "request", request.id }, { "error", info.name }, { "ran", toString(info.ran) },
            { "requestHost", request.host }, { "sends", 0 }, { "afterMs", 0 }, { "rules", request.rulesVersion },
            { "rulesAgeMs", request.rulesAgeMillis }, { "leftOut", std::exchange(m_droppedLines, 0) } });
}

void RequestLog::recordFaults(const GatewayJob& job, std::string_view server, const ExchangeResult& result)
{
    m_staleResponses.add(result.staleResponses);
    if (result.bound == ResponseBound::None)
        return;
    const std::string_view bound = nameOf(result.bound);
    m_metrics.counter("server_responses_over_" + std::string(bound)).add();
    if (mayLog(result.error))
        logChange(LogLevel::Warning, "response-cut-off",
            { { "server", server }, { "request", job.id }, { "bound", bound }, { "connection", job.connection } });
}

void RequestLog::write(
    std::string_view event, const GatewayJob& job, ErrorKind error, std::string_view server, const KnownEditions& known)
{
    boost::json::object line;
    line["request"] = job.id;
    line["caller"] = job.callerAddress;
    line["error"] = errorInfo(error).name;
    line["ran"] = toString(errorInfo(error).ran);
    line["route"] = job.route ? job.route->name : std::string();
    line["service"] = job.service;
    line["key"] = job.keyed ? static_cast<int64_t>(job.key) : -1;
    line["server"] = server;
    line["sends"] = job.sends;
    line["connection"] = job.connection;
    line["connectionUse"] = job.connectionUse;
    line["slots"] = job.share;
    line["crowded"] = job.crowded;
    line["afterMs"] = (m_clock.now() - job.arrived).count();
    line["atServersMs"] = job.serverMicros / 1000;
    line["targetMs"] = (job.target - job.arrived).count();
    line["deadlineMs"] = (job.deadline - job.arrived).count();
    line["serversAsOf"] = known.serversAsOf;
    line["rules"] = job.rules ? job.rules->version : 0;
    line["rulesAgeMs"] = known.rulesAgeMillis;
    line["edition"] = known.table;
    if (error == ErrorKind::Quarantined || mayHaveCrashedServer(error))
        line["fingerprint"] = formatFingerprint(m_crashes.relevantFingerprint(job.fingerprints));
    if (!job.forwardedBy.empty())
        line["forwardedBy"] = job.forwardedBy;
    if (!job.forwardedTo.empty())
        line["forwardedTo"] = job.forwardedTo;
    line["leftOut"] = std::exchange(m_droppedLines, 0);
    logChange(LogLevel::Info, event, std::move(line));
}

}
