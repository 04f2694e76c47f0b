#include "resources/ResourceCodec.h"
#include "resources/Settings.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cumindale;

namespace {

std::optional<FieldError> settingsError(std::string_view text, Settings* settings = nullptr)
{
    return fieldErrorOf([&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(parsed, parseSettings(text));
        if (settings)
            *settings = parsed;
        return {};
    });
}

std::string settingsWith(std::string_view more)
{
    return R"({ // a comment
        "host": { "name": "a", "dataCentre": "d", "operatorToken": "12345678",
            "callers": { "address": "127.0.0.1", "port": 1 }, "peers": { "address": "127.0.0.1", "port": 2 },
            "operators": { "address": "127.0.0.1", "port": 3 }, "store": { "address": "127.0.0.1", "port": 4 },
            "hostList": { "address": "::1", "port": 5 } })"
        + std::string(more) + "}";
}

std::string gatewaySettingsWith(std::string_view more, std::string_view store = R"("10.0.0.9:7000")")
{
    return R"({"host":{"name":"a","dataCentre":"d","callers":"10.0.0.1:80","peers":"10.0.0.1:81",
        "operators":"10.0.0.1:82","store":)"
        + std::string(store) + R"(},"gateway":{"platform":"metadata-store","readiness":"10.0.0.1:83")"
        + std::string(more) + "}}";
}

}

TEST_CASE("settings have defaults, and an invalid one is reported with its field and the allowed values")
{
    Settings settings;
    CHECK_FALSE(settingsError(settingsWith(""), &settings).has_value());
    CHECK(settings.timing.lease == Millis(600));
    CHECK(settings.host.hostList.address == "::1");
    CHECK(settingsError(settingsWith(R"(,"timing":{"beatMs":400})"))->text()
        == "timing.leaseMs: at least twice beatMs, so that one lost beat does not stop a host");
    CHECK(settingsError(settingsWith(R"(,"limits":{"headerBytes":1})"))->field == "limits.headerBytes");
    CHECK(settingsError(settingsWith(R"(,"limit":{})"))->text()
        == "limit: unknown field; remove it or correct its spelling");
    CHECK(settingsError(R"({"host":{"name":"a"}})")->field == "host.dataCentre");
    CHECK(settingsError(settingsWith(R"(,"timing":{"beatMs":"fast"})"))->field == "timing.beatMs");
}

TEST_CASE("the path of the health check can be chosen, and a gateway has none")
{
    Settings settings;
    CHECK_FALSE(settingsError(settingsWith(""), &settings).has_value());
    CHECK(settings.host.healthPath == "/cumindale/health");
    const auto withPath = [](std::string text, const std::string& path) {
        return text.insert(text.find("\"name\""), R"("healthPath": ")" + path + "\", ");
    };
    CHECK_FALSE(settingsError(withPath(settingsWith(""), "/up"), &settings).has_value());
    CHECK(settings.host.healthPath == "/up");
    for (const char* path : { "", "up", "/up?x" })
        CHECK(settingsError(withPath(settingsWith(""), path))->field == "host.healthPath");
    CHECK(settingsError(withPath(gatewaySettingsWith(""), "/up"))->field == "host.healthPath");
    CHECK_FALSE(settingsError(gatewaySettingsWith(""), &settings).has_value());
    CHECK(settings.host.healthPath.empty());
}

TEST_CASE("gateway settings accept endpoints as IP:port strings, and null counts as absent")
{
    Settings settings;
    CHECK_FALSE(
        settingsError(gatewaySettingsWith(R"(,"longestHoldSeconds":null,"graceSeconds":6.5)"), &settings).has_value());
    CHECK(settings.host.store.address == "10.0.0.9");
    CHECK(settings.host.store.port == 7000);
    REQUIRE(settings.gateway);
    CHECK(settings.gateway->maxGrantHold == Millis(10'000));
    CHECK(settings.gateway->shutdownGrace == Millis(6'500));
    CHECK(settingsError(gatewaySettingsWith("", R"("10.0.0.9")"))->field == "host.store");
    CHECK(settingsError(gatewaySettingsWith("", R"("here:7000")"))->field == "host.store");
    CHECK(settings.gateway->rulesDeadline == Millis(2'000));
    REQUIRE_FALSE(settingsError(gatewaySettingsWith(R"(,"rulesWithinSeconds":2.5)"), &settings).has_value());
    CHECK(settings.gateway->rulesDeadline == Millis(2'500));
    CHECK(settingsError(gatewaySettingsWith(R"(,"rulesWithinSeconds":0)"))->field == "gateway.rulesWithinSeconds");
    CHECK(settingsError(gatewaySettingsWith(R"(,"graceSeconds":0)"))->field == "gateway.graceSeconds");
    CHECK(settingsError(gatewaySettingsWith(R"(,"grace":1)"))->field == "gateway.grace");
    CHECK(settingsError(R"({"gateway":{"platform":"other","readiness":"10.0.0.1:83"}})")->text()
        == "gateway.platform: one of metadata-store");
}

TEST_CASE("slot brokers are on, off, or used where they help")
{
    const auto modeOf = [](std::string_view field) {
        Settings settings;
        CHECK_FALSE(settingsError(gatewaySettingsWith(field), &settings).has_value());
        return settings.gateway.value().slotBrokers;
    };
    CHECK(modeOf("") == SlotBrokerMode::Auto);
    CHECK(modeOf(R"(,"slotBrokers":"auto")") == SlotBrokerMode::Auto);
    CHECK(modeOf(R"(,"slotBrokers":"on")") == SlotBrokerMode::On);
    CHECK(modeOf(R"(,"slotBrokers":"off")") == SlotBrokerMode::Off);
    for (const char* field : { R"(,"slotBrokers":"yes")", R"(,"slotBrokers":"On")", R"(,"slotBrokers":"")" }) {
        CAPTURE(field);
        const auto error = settingsError(gatewaySettingsWith(field));
        REQUIRE(error);
        CHECK(error->text() == "gateway.slotBrokers: one of auto, on, off");
    }
    CHECK(settingsError(gatewaySettingsWith(R"(,"slotBrokers":true)"))->field == "gateway.slotBrokers");
}

TEST_CASE("parsing arbitrary text as settings reports an error and throws nothing")
{
    CHECK(rc::check([](const std::string& text) { RC_ASSERT(settingsError(text).has_value()); }));
}

// Guards against a port for forwarded requests that is off or beyond the valid ports without being noticed.
TEST_CASE("the port offset for forwarded requests is off by default and bounded")
{
    const auto offsetOf = [](std::string_view field) {
        Settings settings;
        CHECK_FALSE(settingsError(gatewaySettingsWith(field), &settings).has_value());
        return settings.gateway.value().forwardPortOffset;
    };
    CHECK(offsetOf("") == 0);
    CHECK(offsetOf(R"(,"forwardPortOffset":1)") == 1);
    CHECK(settingsError(gatewaySettingsWith(R"(,"forwardPortOffset":1001)"))->field == "gateway.forwardPortOffset");
    CHECK(settingsError(gatewaySettingsWith(R"(,"forwardPortOffset":-1)"))->field == "gateway.forwardPortOffset");
}
