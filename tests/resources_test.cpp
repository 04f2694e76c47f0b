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

TEST_CASE("a faulty resource is refused with the field's path and what is allowed")
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

TEST_CASE("dangling references are refused with the name that is missing")
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

TEST_CASE("any text is either parsed or refused with a reason; nothing escapes")
{
    CHECK(rc::check([](const std::string& text) {
        const auto fieldError = documentError(text);
        RC_ASSERT(fieldError.has_value());
        RC_ASSERT(fieldError->any());
        RC_ASSERT(!decodeRoster(text).has_value());
    }));
}

TEST_CASE("a settings file that begins like a comment is refused, not a crash")
{
    // A user would see cumindaled die on a mistyped comment. The JSON library gives a position far beyond the
    // text when it fails there, and the line number was counted up to it.
    CHECK(documentError("/8$;")->any());
}

TEST_CASE("a document with one byte changed is parsed or refused, and what is parsed is within its bounds")
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

TEST_CASE("a roster survives its codec")
{
    Roster roster;
    roster.version = 12;
    roster.members.push_back({ "a", "dc-1", "10.0.0.1", 1, 2, 3, MemberState::Departed });
    CHECK(*decodeRoster(encodeRoster(roster)) == roster);
}

// What operators saw: an evacuation with a mistyped name was accepted, and the data centre that was meant went on being
// used.
TEST_CASE("an evacuation names a data centre with servers, says nothing else, and its servers are wanted no more")
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
