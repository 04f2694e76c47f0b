#include "operators/AdminServer.h"

#include "base/Log.h"
#include "operators/StatusJson.h"
#include "web/Signal.h"

#include <boost/json.hpp>
#include <charconv>

namespace cumindale {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

    constexpr std::string_view resourcesPath = "/v1/resources";
    constexpr std::string_view tracePath = "/v1/trace/";
    constexpr Millis writeTimeout { 10'000 };
    constexpr Millis inForceTimeout { 10'000 };
    constexpr Millis longPollTimeout { 30'000 };
    constexpr Millis pollInterval { 20 };

    ServedResponse jsonResponse(unsigned status, const json::object& body)
    {
        return makeResponse(status, json::serialize(body) + "\n");
    }

    ServedResponse errorResponse(
        unsigned status, std::string_view error, std::string_view detail, json::object more = {})
    {
        more["error"] = error;
        more["detail"] = detail;
        return jsonResponse(status, more);
    }

    // For texts of equal length, the duration of the comparison doesn't depend on where they differ.
    bool constantTimeEquals(std::string_view a, std::string_view b)
    {
        unsigned difference = a.size() == b.size() ? 0 : 1;
        for (size_t i = 0; i < a.size(); ++i)
            difference
                |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i % std::max<size_t>(1, b.size())]);
        return !difference && !b.empty();
    }

    std::optional<int64_t> parseNumber(const std::string& text)
    {
        int64_t value = 0;
        const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
        if (result.ec != std::errc() || result.ptr != text.data() + text.size() || value < 0)
            return std::nullopt;
        return value;
    }

    json::array resourcesJson(const std::vector<ResourceEntry>& entries, std::string_view kind)
    {
        json::array list;
        for (const auto& entry : entries) {
            if (!kind.empty() && kind != entry.kind)
                continue;
            FieldError none; // unused: stored entries have been parsed already
            json::object object = parseObject(entry.text, none);
            object.erase("operationId");
            object["revision"] = entry.revision;
            list.push_back(std::move(object));
        }
        return list;
    }

}

AdminServer::AdminServer(asio::any_io_executor executor, const Clock& clock, const Settings& settings,
    ResourceWriter& writer, const StatusBoard& board, const Metrics& metrics, const SpanLog& spans)
    : m_clock(clock)
    , m_settings(settings)
    , m_writer(writer)
    , m_board(board)
    , m_metrics(metrics)
    , m_spans(spans)
    , m_server(
          std::move(executor), settings.host.operators.address, settings.host.operators.port,
          [this](const ServedRequest& request, boost::beast::tcp_stream&) { return handle(request); }, controlLimits)
{
}

bool AdminServer::isAuthorizedToWrite(const ServedRequest& request) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view header = request[http::field::authorization];
    return header.starts_with(scheme)
        && constantTimeEquals(header.substr(scheme.size()), m_settings.host.operatorToken);
}

asio::awaitable<std::optional<ServedResponse>> AdminServer::handle(const ServedRequest& request)
{
    const Target target = parseTarget(request.target());
    const std::string_view path = target.path;
    const auto snapshot = m_board.read();
    if (path.starts_with(std::string(resourcesPath) + "/"))
        co_return co_await write(request, target);
    if (request.method() != http::verb::get)
        co_return errorResponse(405, "method-not-allowed", "this path supports only GET");
    if (path == resourcesPath)
        co_return co_await list(target);
    if (path == "/v1/status")
        co_return jsonResponse(200, statusJson(*snapshot));
    if (path == "/v1/explain")
        co_return jsonResponse(200, explainJson(*snapshot, target.parameter("service"), target.parameter("key")));
    if (path == "/metrics")
        co_return makeResponse(200, m_metrics.text(), "text/plain");
    if (path.starts_with(tracePath))
        co_return trace(path.substr(tracePath.size()));
    co_return errorResponse(404, "not-found", "no such path; see docs/OPERATIONS.md");
}

asio::awaitable<ServedResponse> AdminServer::list(const Target& target)
{
    const std::string kind = target.parameter("kind");
    if (!kind.empty() && !isKind(kind))
        co_return errorResponse(400, "bad-parameter", "kind: must be Service, BackendServer or Placement");
    const std::string after = target.parameter("afterRevision");
    const auto afterRevision = parseNumber(after.empty() ? "0" : after);
    if (!afterRevision)
        co_return errorResponse(400, "bad-parameter", "afterRevision: must be a non-negative integer");
    const Instant end = m_clock.now() + (after.empty() ? Millis(0) : longPollTimeout);
    auto snapshot = m_board.read();
    while (m_clock.now() < end && snapshot->resources && snapshot->resources->revision <= *afterRevision) {
        co_await sleepFor(pollInterval);
        snapshot = m_board.read();
    }
    json::object answer;
    answer["revision"] = snapshot->resources ? snapshot->resources->revision : 0;
    answer["resources"] = snapshot->entries ? resourcesJson(*snapshot->entries, kind) : json::array();
    co_return jsonResponse(200, answer);
}

asio::awaitable<ServedResponse> AdminServer::write(const ServedRequest& request, const Target& target)
{
    const bool erase = request.method() == http::verb::delete_;
    if (!erase && request.method() != http::verb::put)
        co_return errorResponse(
            405, "method-not-allowed", "this path supports only PUT and DELETE; GET /v1/resources lists resources");
    if (!isAuthorizedToWrite(request))
        co_return errorResponse(401, "unauthorized", "writes need the operatorToken of the settings as a bearer token");
    const std::string rest = target.path.substr(resourcesPath.size() + 1);
    const auto slash = rest.find('/');
    WriteRequest writeRequest;
    writeRequest.erase = erase;
    writeRequest.document.kind = rest.substr(0, slash);
    writeRequest.document.name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (!isKind(writeRequest.document.kind) || writeRequest.document.name.empty())
        co_return errorResponse(
            404, "not-found", "/v1/resources/KIND/NAME, KIND is Service, BackendServer or Placement");
    const std::string expected = target.parameter("expectedRevision");
    writeRequest.expectedRevision = parseNumber(expected);
    if (!expected.empty() && !writeRequest.expectedRevision)
        co_return errorResponse(400, "bad-parameter", "expectedRevision: must be a non-negative integer");
    writeRequest.operationId = target.parameter("operationId");
    if (writeRequest.operationId.empty() || writeRequest.operationId.size() > 64)
        co_return errorResponse(
            400, "bad-parameter", "operationId: required, 1 to 64 characters; a retry must use the same one");
    if (!erase) {
        const ResourceDocument named = writeRequest.document;
        const auto fault = fieldErrorOf([&]() -> boost::leaf::result<void> {
            BOOST_LEAF_ASSIGN(writeRequest.document, parseDocument(request.body()));
            return {};
        });
        if (fault)
            co_return errorResponse(400, "invalid", fault->text(), { { "field", fault->field } });
        if (writeRequest.document.kind != named.kind || writeRequest.document.name != named.name)
            co_return errorResponse(400, "invalid", "kind and name must match the path");
    }
    const WriteResult result = co_await m_writer.write(writeRequest, writeTimeout);
    switch (result.outcome) {
    case WriteOutcome::Committed:
        logChange(LogLevel::Info, "resource-written",
            { { "kind", writeRequest.document.kind }, { "name", writeRequest.document.name }, { "erased", erase },
                { "revision", result.revision } });
        if (target.parameter("wait") == "true")
            co_return co_await waitUntilInForce(result, inForceTimeout);
        co_return jsonResponse(200, { { "revision", result.revision } });
    case WriteOutcome::Conflict:
        co_return errorResponse(
            409, "conflict", "the resource is at another revision", { { "currentRevision", result.revision } });
    case WriteOutcome::Invalid:
        co_return errorResponse(400, "invalid", result.fault.text(), { { "field", result.fault.field } });
    case WriteOutcome::NotFound:
        co_return errorResponse(404, "not-found", "the resource does not exist");
    case WriteOutcome::StoreUnavailable:
        co_return errorResponse(503, "store-unavailable", "nothing was written; retry the request");
    case WriteOutcome::Unknown:
        break;
    }
    co_return errorResponse(504, "unknown", "the store did not answer the write; retry with the same operationId");
}

asio::awaitable<ServedResponse> AdminServer::waitUntilInForce(WriteResult result, Millis timeout)
{
    const Instant end = m_clock.now() + timeout;
    auto snapshot = m_board.read();
    while (!inForceEverywhere(*snapshot, result.revision) && m_clock.now() < end) {
        co_await sleepFor(pollInterval);
        snapshot = m_board.read();
    }
    json::object answer = inForceJson(*snapshot, result.revision);
    answer["revision"] = result.revision;
    co_return jsonResponse(inForceEverywhere(*snapshot, result.revision) ? 200 : 202, answer);
}

ServedResponse AdminServer::trace(std::string_view id) const
{
    json::array spans;
    for (const auto& span : m_spans.spansOfTrace(id)) {
        json::object object;
        object["host"] = m_settings.host.name;
        object["hop"] = span.hop;
        object["detail"] = span.detail;
        object["span"] = span.context.span;
        object["parent"] = span.parent;
        object["startUs"] = span.startMicros;
        object["durationUs"] = span.durationMicros;
        spans.push_back(std::move(object));
    }
    return jsonResponse(200, { { "trace", id }, { "spans", std::move(spans) } });
}

}
