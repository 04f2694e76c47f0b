#include "resources/ResourceCodec.h"
#include "resources/RosterCodec.h"

#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cumindale;

namespace {

std::optional<FieldError> documentError(std::string_view text)
{
    return fieldErrorOf([&]() -> boost::leaf::result<void> {
        BOOST_LEAF_CHECK(parseDocument(text));
        return {};
    });
}

std::string server(std::string_view fields)
{
    return R"({"kind":"BackendServer","name":"s-1","spec":{"service":"t","address":"127.0.0.1","port":1,"dataCentre":"d")"
        + std::string(fields) + "}}";
}

}

TEST_CASE("an invalid resource is rejected with the field's path and the allowed values")
{
    CHECK_FALSE(documentError(server("")).has_value());
    CHECK(documentError(server(R"(,"slots":0)"))->text() == "spec.slots: a whole number from 1 to 100000");
    CHECK(documentError(server(R"(,"slot":4)"))->field == "spec.slot");
    CHECK(documentError(server(R"(,"state":"gone")"))->text() == "spec.state: one of live, leaving");
    CHECK(documentError(R"({"kind":"Server","name":"x","spec":{}})")->field == "kind");
    CHECK(documentError(R"({"kind":"Service","name":"a/b","spec":{}})")->field == "name");
    CHECK(documentError("{ nonsense")->text().find("line 1") != std::string::npos);
    const char* route
        = R"({"kind":"Service","name":"t","spec":{"pathPrefix":"/t/","key":{"header":"K"},"routes":[{},{"deadlineMs":1}]}})";
    CHECK(documentError(route)->field == "spec.routes[1].deadlineMs");
}

TEST_CASE("a reference to an undeclared resource is rejected with the path of the referring field")
{
    Resources resources;
    const auto add = [&](std::string_view text) {
        return fieldErrorOf([&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(document, parseDocument(text));
            return addToResources(resources, document);
        });
    };
    CHECK_FALSE(add(server("")).has_value());
    CHECK(fieldErrorOf([&] { return checkReferences(resources); })->field == "BackendServer/s-1 spec.service");
}

TEST_CASE("parsing arbitrary text as a document or roster reports an error and throws nothing")
{
    CHECK(rc::check([](const std::string& text) {
        const auto fieldError = documentError(text);
        RC_ASSERT(fieldError.has_value());
        RC_ASSERT(fieldError->any());
        RC_ASSERT(!decodeRoster(text).has_value());
    }));
}

TEST_CASE("text that starts like a comment is rejected without a crash")
{
    // Guards against a crash of cumindaled on a mistyped comment: the JSON library reports a position far beyond the
    // text there, and the line number of the error was counted up to that position.
    CHECK(documentError("/8$;")->any());
}

TEST_CASE("a document with one changed byte is rejected or parsed to values within their bounds")
{
    CHECK(rc::check([] {
        std::string text = server(R"(,"slots":4,"connections":120,"coldStartMs":0)");
        text[*rc::gen::inRange<size_t>(0, text.size())] = static_cast<char>(*rc::gen::inRange(0, 256));
        Resources resources;
        const auto fieldError = fieldErrorOf([&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(document, parseDocument(text));
            return addToResources(resources, document);
        });
        for (const auto& [name, resource] : resources.servers) {
            RC_ASSERT(!fieldError.has_value());
            RC_ASSERT(resource.slots >= 1u);
            RC_ASSERT(resource.port >= 1);
        }
    }));
}

TEST_CASE("a roster is unchanged after encoding and decoding")
{
    Roster roster;
    roster.version = 12;
    roster.members.push_back({ "a", "dc-1", "10.0.0.1", 1, 2, 3, MemberState::Departed });
    CHECK(*decodeRoster(encodeRoster(roster)) == roster);
}

// Guards against accepting an evacuation with a mistyped name, after which the intended data centre stayed in use.
TEST_CASE(
    "an evacuation names a data centre with servers, has an empty spec, and stops its servers from accepting work")
{
    Resources resources;
    ServerResource server;
    server.name = "a";
    server.dataCentre = "dc-1";
    resources.servers.emplace("a", server);
    CHECK(resources.acceptsWork(server));
    const auto errorOf = [](auto&& check) { return fieldErrorOf(check); };
    CHECK_FALSE(errorOf([&] { return checkEvacuation(resources, "dc-1"); }));
    CHECK(errorOf([&] { return checkEvacuation(resources, "dc-2"); }));
    const auto add = [&](const char* text) {
        return errorOf([&]() -> boost::leaf::result<void> {
            ResourceDocument document;
            BOOST_LEAF_ASSIGN(document, parseDocument(text));
            return addToResources(resources, document);
        });
    };
    CHECK(add(R"({"kind":"Evacuation","name":"dc-1","spec":{"until":"tomorrow"}})"));
    CHECK_FALSE(add(R"({"kind":"Evacuation","name":"dc-1","spec":{}})"));
    CHECK_FALSE(resources.acceptsWork(server));
}
