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

// Sections: asking, printing, commands.

// --- Asking

namespace {

    constexpr Millis callTimeout { 40'000 };

    HttpReply ask(const std::string& address, uint16_t port, const HttpCall& call)
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

    HttpCall callFor(const CommandOptions& options, http::verb verb, std::string target, std::string body = {})
    {
        HttpCall call;
        call.verb = verb;
        call.target = std::move(target);
        call.body = std::move(body);
        if (!options.token.empty())
            call.headers.emplace_back("Authorization", "Bearer " + options.token);
        return call;
    }

    std::string escaped(const std::string& text) { return boost::urls::encode(text, boost::urls::unreserved_chars); }

    int statusOf(const HttpReply& reply)
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

    // --- Printing

    std::string plain(const json::value& value)
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
            std::cout << path << '\t' << plain(value) << '\n';
        }
    }

    int show(const CommandOptions& options, const HttpReply& reply)
    {
        if (!reply.hasResponse()) {
            std::cerr << "cumindalectl: no answer from " << options.address << ':' << options.port << '\n';
            return ExitUnavailable;
        }
        const int status = statusOf(reply);
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

    // --- Commands

    int get(const CommandOptions& options, const std::vector<std::string>& words)
    {
        std::string target = "/v1/resources";
        if (words.size() > 1)
            target += "?kind=" + escaped(words[1]);
        HttpReply reply = ask(options.address, options.port, callFor(options, http::verb::get, target));
        if (words.size() < 3 || reply.status != 200)
            return show(options, reply);
        const json::value all = json::parse(reply.body);
        for (const auto& item : all.at("resources").as_array()) {
            if (item.at("name").as_string() == words[2]) {
                reply.body = json::serialize(item) + "\n";
                return show(options, reply);
            }
        }
        std::cerr << "cumindalectl: there is no " << words[1] << ' ' << words[2] << '\n';
        return ExitRefused;
    }

    std::string writeTarget(const CommandOptions& options, const std::string& kind, const std::string& name)
    {
        const std::string id = options.operationId.empty() ? newOperationId() : options.operationId;
        std::string target = "/v1/resources/" + escaped(kind) + "/" + escaped(name) + "?operationId=" + escaped(id);
        if (options.expectedRevision)
            target += "&expectedRevision=" + std::to_string(*options.expectedRevision);
        if (options.wait)
            target += "&wait=true";
        return target;
    }

    int applyOne(const CommandOptions& options, const std::string& text)
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
        return show(options,
            ask(options.address, options.port,
                callFor(options, http::verb::put, target, json::serialize(toJson(document)))));
    }

    // One resource, or {"resources": [...]} with several, applied in order until one fails.
    int apply(const CommandOptions& options)
    {
        std::ostringstream text;
        if (options.file == "-") {
            text << std::cin.rdbuf();
        } else {
            std::ifstream in(options.file);
            text << in.rdbuf();
            if (options.file.empty() || !in) {
                std::cerr << "cumindalectl: apply needs --file FILE that can be read, or --file=- for standard input\n";
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
            return applyOne(options, text.str());
        for (const auto& item : list->get_array()) {
            if (const int status = applyOne(options, json::serialize(item)))
                return status;
        }
        return ExitOk;
    }

    int erase(const CommandOptions& options, const std::vector<std::string>& words)
    {
        if (words.size() != 3)
            return usage();
        return show(options,
            ask(options.address, options.port,
                callFor(options, http::verb::delete_, writeTarget(options, words[1], words[2]))));
    }

    int watch(const CommandOptions& options)
    {
        int64_t revision = 0;
        for (;;) {
            const std::string target = "/v1/resources?afterRevision=" + std::to_string(revision);
            const HttpReply reply = ask(options.address, options.port, callFor(options, http::verb::get, target));
            if (reply.status != 200)
                return show(options, reply);
            const int64_t now = json::parse(reply.body).at("revision").to_number<int64_t>();
            if (now > revision)
                show(options, reply);
            revision = now;
        }
    }

    int explain(const CommandOptions& options, const std::vector<std::string>& words)
    {
        if (words.size() != 2 || options.service.empty())
            return usage();
        const std::string target = "/v1/explain?service=" + escaped(options.service) + "&key=" + escaped(words[1]);
        return show(options, ask(options.address, options.port, callFor(options, http::verb::get, target)));
    }

    // Leaving is a wish on the server's resource: read it, set it, write it back if nobody has changed it meanwhile.
    // Requests that crash servers, on a host with a gateway.
    int quarantine(const CommandOptions& options, const std::vector<std::string>& words)
    {
        const std::string target = "/v1/quarantine";
        if (words.size() == 2 && words[1] == "list")
            return show(options, ask(options.address, options.port, callFor(options, http::verb::get, target)));
        if (words.size() == 3 && words[1] == "clear")
            return show(options,
                ask(options.address, options.port,
                    callFor(options, http::verb::delete_, target + "?request=" + escaped(words[2]))));
        return usage();
    }

    int evacuate(const CommandOptions& options, const std::vector<std::string>& words)
    {
        if (words.size() != 2)
            return usage();
        const json::object resource { { "kind", "Evacuation" }, { "name", words[1] }, { "spec", json::object {} } };
        return applyOne(options, json::serialize(resource));
    }

    int drain(const CommandOptions& options, const std::vector<std::string>& words)
    {
        if (words.size() != 2)
            return usage();
        const HttpReply reply
            = ask(options.address, options.port, callFor(options, http::verb::get, "/v1/resources?kind=BackendServer"));
        if (reply.status != 200)
            return show(options, reply);
        json::value all = json::parse(reply.body);
        for (auto& item : all.at("resources").as_array()) {
            if (item.at("name").as_string() != words[1])
                continue;
            item.at("spec").as_object()["state"] = "leaving";
            CommandOptions conditional = options;
            if (!conditional.expectedRevision)
                conditional.expectedRevision = item.at("revision").to_number<int64_t>();
            item.as_object().erase("revision");
            return applyOne(conditional, json::serialize(item));
        }
        std::cerr << "cumindalectl: there is no BackendServer " << words[1] << '\n';
        return ExitRefused;
    }

    // A request's spans lie on the hosts that it passed: all of them are asked.
    int trace(const CommandOptions& options, const std::vector<std::string>& words)
    {
        if (words.size() != 2)
            return usage();
        const HttpReply status = ask(options.address, options.port, callFor(options, http::verb::get, "/v1/status"));
        if (status.status != 200)
            return show(options, status);
        json::array spans;
        const json::value state = json::parse(status.body);
        for (const auto& host : state.at("hosts").as_object()) {
            const auto port = host.value().at("operatorPort").to_number<uint16_t>();
            const std::string address(host.value().at("address").as_string());
            const HttpReply reply
                = ask(address, port, callFor(options, http::verb::get, "/v1/trace/" + escaped(words[1])));
            if (reply.status != 200)
                continue;
            const json::value found = json::parse(reply.body);
            for (const auto& span : found.at("spans").as_array())
                spans.push_back(span);
        }
        HttpReply merged;
        merged.status = 200;
        merged.body = json::serialize(json::object { { "trace", words[1] }, { "spans", std::move(spans) } }) + "\n";
        return show(options, merged);
    }

}

int runCommand(const CommandOptions& options, const std::vector<std::string>& words)
{
    const std::string command = words.empty() ? std::string() : words.front();
    if (command == "get")
        return get(options, words);
    if (command == "apply")
        return apply(options);
    if (command == "delete")
        return erase(options, words);
    if (command == "watch")
        return watch(options);
    if (command == "explain")
        return explain(options, words);
    if (command == "status")
        return show(options, ask(options.address, options.port, callFor(options, http::verb::get, "/v1/status")));
    if (command == "drain")
        return drain(options, words);
    if (command == "evacuate")
        return evacuate(options, words);
    if (command == "quarantine")
        return quarantine(options, words);
    if (command == "trace")
        return trace(options, words);
    return usage();
}

}
