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
    constexpr Millis writeWithin { 10'000 };
    constexpr Millis waitWithin { 10'000 };
    constexpr Millis longestPoll { 30'000 };
    constexpr Millis pollEvery { 20 };

    ServedResponse jsonAnswer(unsigned status, const json::object& body)
    {
        return makeResponse(status, json::serialize(body) + "\n");
    }

    ServedResponse errorAnswer(unsigned status, std::string_view error, std::string_view detail, json::object more = {})
    {
        more["error"] = error;
        more["detail"] = detail;
        return jsonAnswer(status, more);
    }

    // Texts of equal length compare in a time that does not tell where they differ.
    bool sameSecret(std::string_view a, std::string_view b)
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
            FieldError none; // it was parsed before it came here
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
    , m_server(std::move(executor), settings.host.operators.address, settings.host.operators.port,
          [this](const ServedRequest& request, boost::beast::tcp_stream&) { return answer(request); })
{
}

bool AdminServer::mayWrite(const ServedRequest& request) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view header = request[http::field::authorization];
    return header.starts_with(scheme) && sameSecret(header.substr(scheme.size()), m_settings.host.operatorToken);
}

asio::awaitable<std::optional<ServedResponse>> AdminServer::answer(const ServedRequest& request)
{
    const Target target = parseTarget(request.target());
    const std::string_view path = target.path;
    const auto snapshot = m_board.read();
    if (path.starts_with(std::string(resourcesPath) + "/"))
        co_return co_await write(request, target);
    if (request.method() != http::verb::get)
        co_return errorAnswer(405, "method-not-allowed", "only GET here");
    if (path == resourcesPath)
        co_return co_await list(target);
    if (path == "/v1/status")
        co_return jsonAnswer(200, statusJson(*snapshot));
    if (path == "/v1/explain")
        co_return jsonAnswer(200, explainJson(*snapshot, target.parameter("service"), target.parameter("key")));
    if (path == "/metrics")
        co_return makeResponse(200, m_metrics.text(), "text/plain");
    if (path.starts_with(tracePath))
        co_return trace(path.substr(tracePath.size()));
    co_return errorAnswer(404, "not-found", "no such path; see docs/OPERATIONS.md");
}

asio::awaitable<ServedResponse> AdminServer::list(const Target& target)
{
    const std::string kind = target.parameter("kind");
    if (!kind.empty() && !isKind(kind))
        co_return errorAnswer(400, "bad-parameter", "kind: Service, BackendServer or Placement");
    const std::string after = target.parameter("afterRevision");
    const auto afterRevision = parseNumber(after.empty() ? "0" : after);
    if (!afterRevision)
        co_return errorAnswer(400, "bad-parameter", "afterRevision: a whole number");
    const Instant end = m_clock.now() + (after.empty() ? Millis(0) : longestPoll);
    auto snapshot = m_board.read();
    while (m_clock.now() < end && snapshot->resources && snapshot->resources->revision <= *afterRevision) {
        co_await sleepFor(pollEvery);
        snapshot = m_board.read();
    }
    json::object answer;
    answer["revision"] = snapshot->resources ? snapshot->resources->revision : 0;
    answer["resources"] = snapshot->entries ? resourcesJson(*snapshot->entries, kind) : json::array();
    co_return jsonAnswer(200, answer);
}

asio::awaitable<ServedResponse> AdminServer::write(const ServedRequest& request, const Target& target)
{
    const bool erase = request.method() == http::verb::delete_;
    if (!erase && request.method() != http::verb::put)
        co_return errorAnswer(405, "method-not-allowed", "PUT or DELETE here; GET /v1/resources lists");
    if (!mayWrite(request))
        co_return errorAnswer(401, "unauthorized", "writes need the settings' operatorToken as a bearer token");
    const std::string rest = target.path.substr(resourcesPath.size() + 1);
    const auto slash = rest.find('/');
    WriteOrder order;
    order.erase = erase;
    order.document.kind = rest.substr(0, slash);
    order.document.name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (!isKind(order.document.kind) || order.document.name.empty())
        co_return errorAnswer(404, "not-found", "/v1/resources/KIND/NAME, KIND is Service, BackendServer or Placement");
    const std::string expected = target.parameter("expectedRevision");
    order.expectedRevision = parseNumber(expected);
    if (!expected.empty() && !order.expectedRevision)
        co_return errorAnswer(400, "bad-parameter", "expectedRevision: a whole number");
    order.operationId = target.parameter("operationId");
    if (order.operationId.empty() || order.operationId.size() > 64)
        co_return errorAnswer(
            400, "bad-parameter", "operationId: required, 1 to 64 characters, the same for a repeated try");
    if (!erase) {
        const ResourceDocument named = order.document;
        const auto fault = fieldErrorOf([&]() -> boost::leaf::result<void> {
            BOOST_LEAF_ASSIGN(order.document, parseDocument(request.body()));
            return {};
        });
        if (fault)
            co_return errorAnswer(400, "invalid", fault->text(), { { "field", fault->field } });
        if (order.document.kind != named.kind || order.document.name != named.name)
            co_return errorAnswer(400, "invalid", "kind and name must be those of the path");
    }
    const WriteResult result = co_await m_writer.write(order, writeWithin);
    switch (result.outcome) {
    case WriteOutcome::Committed:
        logChange(LogLevel::Info, "resource-written",
            { { "kind", order.document.kind }, { "name", order.document.name }, { "erased", erase },
                { "revision", result.revision } });
        if (target.parameter("wait") == "true")
            co_return co_await waitInForce(result, waitWithin);
        co_return jsonAnswer(200, { { "revision", result.revision } });
    case WriteOutcome::Conflict:
        co_return errorAnswer(
            409, "conflict", "the resource is at another revision", { { "currentRevision", result.revision } });
    case WriteOutcome::Invalid:
        co_return errorAnswer(400, "invalid", result.fault.text(), { { "field", result.fault.field } });
    case WriteOutcome::NotFound:
        co_return errorAnswer(404, "not-found", "there is no such resource");
    case WriteOutcome::StoreUnavailable:
        co_return errorAnswer(503, "store-unavailable", "nothing was written; try again");
    case WriteOutcome::Unknown:
        break;
    }
    co_return errorAnswer(504, "unknown", "the store went silent in the write; repeat it with the same operationId");
}

asio::awaitable<ServedResponse> AdminServer::waitInForce(WriteResult result, Millis within)
{
    const Instant end = m_clock.now() + within;
    auto snapshot = m_board.read();
    while (!inForceEverywhere(*snapshot, result.revision) && m_clock.now() < end) {
        co_await sleepFor(pollEvery);
        snapshot = m_board.read();
    }
    json::object answer = inForceJson(*snapshot, result.revision);
    answer["revision"] = result.revision;
    co_return jsonAnswer(inForceEverywhere(*snapshot, result.revision) ? 200 : 202, answer);
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
    return jsonAnswer(200, { { "trace", id }, { "spans", std::move(spans) } });
}

}
