#include "Commands.h"

#include "resources/ResourceCodec.h"
#include "web/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace cumindale {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

    constexpr Millis callTimeout { 40'000 };

    HttpReply sendRequest(const std::string& address, uint16_t port, const HttpCall& call)
    {
        asio::io_context context;
        HttpReply reply;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                HttpClient client(context.get_executor(), address, port);
                reply = co_await client.send(call, callTimeout);
            },
            [](std::exception_ptr) {});
        context.run();
        return reply;
    }

    HttpCall makeCall(const CommandOptions& options, http::verb verb, std::string target, std::string body = {})
    {
        HttpCall call;
        call.verb = verb;
        call.target = std::move(target);
        call.body = std::move(body);
        if (!options.token.empty())
            call.headers.emplace_back("Authorization", "Bearer " + options.token);
        return call;
    }

    std::string percentEncoded(const std::string& text)
    {
        return boost::urls::encode(text, boost::urls::unreserved_chars);
    }

    int exitStatusOf(const HttpReply& reply)
    {
        switch (reply.status) {
        case 200:
            return ExitOk;
        case 202:
            return ExitNotInForce;
        case 409:
            return ExitConflict;
        case 0:
        case 503:
        case 504:
            return ExitUnavailable;
        default:
            return ExitRefused;
        }
    }

    std::string newOperationId()
    {
        std::random_device random;
        std::ostringstream id;
        id << std::hex << random() << random() << random();
        return id.str();
    }

    std::string toText(const json::value& value)
    {
        return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
    }

    void printTable(const json::value& value, const std::string& path)
    {
        if (value.is_object()) {
            for (const auto& field : value.get_object())
                printTable(
                    field.value(), path.empty() ? std::string(field.key()) : path + "." + std::string(field.key()));
        } else if (value.is_array()) {
            size_t index = 0;
            for (const auto& item : value.get_array())
                printTable(item, path + "[" + std::to_string(index++) + "]");
        } else {
            std::cout << path << '\t' << toText(value) << '\n';
        }
    }

    int printReply(const CommandOptions& options, const HttpReply& reply)
    {
        if (!reply.hasResponse()) {
            std::cerr << "cumindalectl: no response from " << options.address << ':' << options.port << '\n';
            return ExitUnavailable;
        }
        const int status = exitStatusOf(reply);
        auto& out = status == ExitOk || status == ExitNotInForce ? std::cout : std::cerr;
        boost::system::error_code error;
        const auto value = json::parse(reply.body, error);
        if (options.table && !error)
            printTable(value, {});
        else
            out << reply.body;
        return status;
    }

    int usage()
    {
        std::cerr << "cumindalectl: get [KIND [NAME]] | apply --file FILE | delete KIND NAME | watch | explain KEY "
                     "--service S\n"
                     "              | status | drain SERVER | evacuate DATA-CENTRE\n"
                     "              | trace ID | quarantine list | quarantine clear REQUEST; see --help\n";
        return ExitUsage;
    }

    int get(const CommandOptions& options, const std::vector<std::string>& arguments)
    {
        std::string target = "/v1/resources";
        if (arguments.size() > 1)
            target += "?kind=" + percentEncoded(arguments[1]);
        HttpReply reply = sendRequest(options.address, options.port, makeCall(options, http::verb::get, target));
        if (arguments.size() < 3 || reply.status != 200)
            return printReply(options, reply);
        const json::value all = json::parse(reply.body);
        for (const auto& item : all.at("resources").as_array()) {
            if (item.at("name").as_string() == arguments[2]) {
                reply.body = json::serialize(item) + "\n";
                return printReply(options, reply);
            }
        }
        std::cerr << "cumindalectl: not found: " << arguments[1] << ' ' << arguments[2] << '\n';
        return ExitRefused;
    }

    std::string writeTarget(const CommandOptions& options, const std::string& kind, const std::string& name)
    {
        const std::string id = options.operationId.empty() ? newOperationId() : options.operationId;
        std::string target = "/v1/resources/" + percentEncoded(kind) + "/" + percentEncoded(name)
            + "?operationId=" + percentEncoded(id);
        if (options.expectedRevision)
            target += "&expectedRevision=" + std::to_string(*options.expectedRevision);
        if (options.wait)
            target += "&wait=true";
        return target;
    }

    int applyResource(const CommandOptions& options, const std::string& text)
    {
        ResourceDocument document;
        const auto fault = fieldErrorOf([&]() -> boost::leaf::result<void> {
            BOOST_LEAF_ASSIGN(document, parseDocument(text));
            return {};
        });
        if (fault) {
            std::cerr << "cumindalectl: " << options.file << ": " << fault->text() << '\n';
            return ExitUsage;
        }
        const std::string target = writeTarget(options, document.kind, document.name);
        return printReply(options,
            sendRequest(options.address, options.port,
                makeCall(options, http::verb::put, target, json::serialize(toJson(document)))));
    }

    // The input is one resource, or {"resources": [...]} with several, which are applied in order until one fails.
    int apply(const CommandOptions& options)
    {
        std::ostringstream text;
        if (options.file == "-") {
            text << std::cin.rdbuf();
        } else {
            std::ifstream in(options.file);
            text << in.rdbuf();
            if (options.file.empty() || !in) {
                std::cerr << "cumindalectl: apply needs a readable --file FILE, or --file=- for standard input\n";
                return ExitUsage;
            }
        }
        FieldError fault;
        const json::object object = parseObject(text.str(), fault);
        if (fault.any()) {
            std::cerr << "cumindalectl: " << options.file << ": " << fault.text() << '\n';
            return ExitUsage;
        }
        const auto* list = object.if_contains("resources");
        if (!list || !list->is_array())
            return applyResource(options, text.str());
        for (const auto& item : list->get_array()) {
            if (const int status = applyResource(options, json::serialize(item)))
                return status;
        }
        return ExitOk;
    }

    int erase(const CommandOptions& options, const std::vector<std::string>& arguments)
    {
        if (arguments.size() != 3)
            return usage();
        return printReply(options,
            sendRequest(options.address, options.port,
                makeCall(options, http::verb::delete_, writeTarget(options, arguments[1], arguments[2]))));
    }

    int watch(const CommandOptions& options)
    {
        int64_t revision = 0;
        for (;;) {
            const std::string target = "/v1/resources?afterRevision=" + std::to_string(revision);
            const HttpReply reply
                = sendRequest(options.address, options.port, makeCall(options, http::verb::get, target));
            if (reply.status != 200)
                return printReply(options, reply);
            const int64_t now = json::parse(reply.body).at("revision").to_number<int64_t>();
            if (now > revision)
                printReply(options, reply);
            revision = now;
        }
    }

    int explain(const CommandOptions& options, const std::vector<std::string>& arguments)
    {
        if (arguments.size() != 2 || options.service.empty())
            return usage();
        const std::string target
            = "/v1/explain?service=" + percentEncoded(options.service) + "&key=" + percentEncoded(arguments[1]);
        return printReply(
            options, sendRequest(options.address, options.port, makeCall(options, http::verb::get, target)));
    }

    // Lists or clears quarantined requests, which have crashed servers. Only hosts with a gateway have them.
    int quarantine(const CommandOptions& options, const std::vector<std::string>& arguments)
    {
        const std::string target = "/v1/quarantine";
        if (arguments.size() == 2 && arguments[1] == "list")
            return printReply(
                options, sendRequest(options.address, options.port, makeCall(options, http::verb::get, target)));
        if (arguments.size() == 3 && arguments[1] == "clear")
            return printReply(options,
                sendRequest(options.address, options.port,
                    makeCall(options, http::verb::delete_, target + "?request=" + percentEncoded(arguments[2]))));
        return usage();
    }

    int evacuate(const CommandOptions& options, const std::vector<std::string>& arguments)
    {
        if (arguments.size() != 2)
            return usage();
        const json::object resource { { "kind", "Evacuation" }, { "name", arguments[1] }, { "spec", json::object {} } };
        return applyResource(options, json::serialize(resource));
    }

    // Sets the state of the server's resource to leaving. The write fails if the resource has changed since the read.
    int drain(const CommandOptions& options, const std::vector<std::string>& arguments)
    {
        if (arguments.size() != 2)
            return usage();
        const HttpReply reply = sendRequest(
            options.address, options.port, makeCall(options, http::verb::get, "/v1/resources?kind=BackendServer"));
        if (reply.status != 200)
            return printReply(options, reply);
        json::value all = json::parse(reply.body);
        for (auto& item : all.at("resources").as_array()) {
            if (item.at("name").as_string() != arguments[1])
                continue;
            item.at("spec").as_object()["state"] = "leaving";
            CommandOptions conditional = options;
            if (!conditional.expectedRevision)
                conditional.expectedRevision = item.at("revision").to_number<int64_t>();
            item.as_object().erase("revision");
            return applyResource(conditional, json::serialize(item));
        }
        std::cerr << "cumindalectl: not found: BackendServer " << arguments[1] << '\n';
        return ExitRefused;
    }

    // Each host stores only its own spans of a request, so the command queries every host and merges the results.
    int trace(const CommandOptions& options, const std::vector<std::string>& arguments)
    {
        if (arguments.size() != 2)
            return usage();
        const HttpReply status
            = sendRequest(options.address, options.port, makeCall(options, http::verb::get, "/v1/status"));
        if (status.status != 200)
            return printReply(options, status);
        json::array spans;
        const json::value state = json::parse(status.body);
        for (const auto& host : state.at("hosts").as_object()) {
            const auto port = host.value().at("operatorPort").to_number<uint16_t>();
            const std::string address(host.value().at("address").as_string());
            const HttpReply reply = sendRequest(
                address, port, makeCall(options, http::verb::get, "/v1/trace/" + percentEncoded(arguments[1])));
            if (reply.status != 200)
                continue;
            const json::value found = json::parse(reply.body);
            for (const auto& span : found.at("spans").as_array())
                spans.push_back(span);
        }
        HttpReply merged;
        merged.status = 200;
        merged.body = json::serialize(json::object { { "trace", arguments[1] }, { "spans", std::move(spans) } }) + "\n";
        return printReply(options, merged);
    }

}

int runCommand(const CommandOptions& options, const std::vector<std::string>& arguments)
{
    const std::string command = arguments.empty() ? std::string() : arguments.front();
    if (command == "get")
        return get(options, arguments);
    if (command == "apply")
        return apply(options);
    if (command == "delete")
        return erase(options, arguments);
    if (command == "watch")
        return watch(options);
    if (command == "explain")
        return explain(options, arguments);
    if (command == "status")
        return printReply(
            options, sendRequest(options.address, options.port, makeCall(options, http::verb::get, "/v1/status")));
    if (command == "drain")
        return drain(options, arguments);
    if (command == "evacuate")
        return evacuate(options, arguments);
    if (command == "quarantine")
        return quarantine(options, arguments);
    if (command == "trace")
        return trace(options, arguments);
    return usage();
}

}
