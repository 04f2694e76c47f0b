#include "gateway/RequestLog.h"

#include "base/Log.h"
#include "gateway/GatewayJob.h"
#include "gateway/RequestCrashes.h"
#include "resources/QuarantineCodec.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <utility>

namespace cumindale {

RequestLog::RequestLog(const Clock& clock, Metrics& metrics, const RequestCrashes& crashes)
    : m_clock(clock)
    , m_crashes(crashes)
    , m_metrics(metrics)
{
}

bool RequestLog::mayLog()
{
    constexpr double linesPerSecond = 100; // about 30 kB/s, and 1% of a small host's processor time
    constexpr double burst = 200;
    const Instant now = m_clock.now();
    m_tokens = std::min(burst, m_tokens + linesPerSecond * static_cast<double>((now - m_tokensAt).count()) / 1000);
    m_tokensAt = now;
    if (m_tokens < 1) {
        ++m_droppedLines;
        m_metrics.counter("log_lines_left_out").add();
        return false;
    }
    m_tokens -= 1;
    return true;
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
    line["slots"] = job.share;
    line["crowded"] = job.crowded;
    line["afterMs"] = (m_clock.now() - job.arrived).count();
    line["atServersMs"] = job.serverMicros / 1000;
    line["targetMs"] = (job.target - job.arrived).count();
    line["deadlineMs"] = (job.deadline - job.arrived).count();
    line["serversAsOf"] = known.serversAsOf;
    line["rules"] = job.rules ? job.rules->version : 0;
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
