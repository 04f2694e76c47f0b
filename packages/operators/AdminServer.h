// Administration API over HTTP and JSON. Reads need no authentication; writes need the bearer token from the settings.
// docs/OPERATIONS.md lists every call and error.
#pragma once

#include "base/Metrics.h"
#include "base/Spans.h"
#include "control/StatusBoard.h"
#include "operators/ResourceWriter.h"
#include "resources/Settings.h"
#include "web/HttpServer.h"

namespace cumindale {

class AdminServer {
public:
    AdminServer(boost::asio::any_io_executor, const Clock&, const Settings&, ResourceWriter&, const StatusBoard&,
        const Metrics&, const SpanLog&);

private:
    boost::asio::awaitable<std::optional<ServedResponse>> handle(const ServedRequest&);
    boost::asio::awaitable<ServedResponse> write(const ServedRequest&, const Target&);
    boost::asio::awaitable<ServedResponse> list(const Target&);
    boost::asio::awaitable<ServedResponse> waitUntilInForce(WriteResult, Millis timeout);
    ServedResponse trace(std::string_view id) const;
    bool isAuthorizedToWrite(const ServedRequest&) const;

    const Clock& m_clock;
    const Settings& m_settings;
    ResourceWriter& m_writer;
    const StatusBoard& m_board;
    const Metrics& m_metrics;
    const SpanLog& m_spans;
    HttpServer m_server;
};

}
