// What servers announce about themselves in response headers.
#include "decisions/ServerNotice.h"

#include <doctest/doctest.h>

using namespace cumindale;

TEST_CASE("a server announces its shutdown or a retry delay, or both")
{
    CHECK(parseServerNotice(200, "1", "") == ServerNotice { true, Millis(0), false });
    CHECK(parseServerNotice(503, "", "3") == ServerNotice { false, Millis(3'000), false });
    CHECK(parseServerNotice(503, " 1 ", " 0.25 ") == ServerNotice { true, Millis(250), false });
    CHECK(parseServerNotice(503, "1", "2.0001") == ServerNotice { true, Millis(2'001), false });
    CHECK_FALSE(parseServerNotice(200, "", "").any());
    CHECK_FALSE(parseServerNotice(200, "0", "").any());
    CHECK_FALSE(parseServerNotice(503, "", "0").any());
}

// Guards against a retry delay that is read from a response other than a refusal.
TEST_CASE("a retry delay counts only in a refusal")
{
    CHECK_FALSE(parseServerNotice(200, "", "3").any());
    CHECK_FALSE(parseServerNotice(429, "", "3").any());
    CHECK_FALSE(parseServerNotice(500, "", "soon").any());
}

// Guards against a limit that is ignored, or read as a higher one.
TEST_CASE("a server announces how many requests a second it accepts")
{
    CHECK(parseServerNotice(200, "", "", "1.6").limit == 1.6);
    CHECK(parseServerNotice(503, "1", "3", " 25 ").limit == 25);
    CHECK(parseServerNotice(200, "", "", "0").limit == 0);
    CHECK(parseServerNotice(200, "", "", "1e9").limit == 1e9);
    CHECK(parseServerNotice(200, "", "", "4, 2.5,3").limit == 2.5);
    CHECK_FALSE(parseServerNotice(200, "", "").limit);
    CHECK_FALSE(parseServerNotice(200, "", "").limitUnreadable);
    const ServerNotice partly = parseServerNotice(200, "", "", "few,2");
    CHECK(partly.limit == 2);
    CHECK(partly.malformed);
    CHECK_FALSE(partly.limitUnreadable);
    for (const auto* malformed : { "-1", "few", "nan", "inf", "1e400", "2/s", "," }) {
        CAPTURE(malformed);
        const ServerNotice notice = parseServerNotice(200, "", "", malformed);
        CHECK(notice.malformed);
        CHECK(notice.limitUnreadable);
        CHECK_FALSE(notice.limit);
    }
}

// Guards against a malformed value that takes a server out of service.
TEST_CASE("malformed values are ignored and leave the other header in force")
{
    for (const auto* malformed :
        { "soon", "-1", "nan", "inf", "1e12", "601", "3s", "0x3", "Wed, 21 Oct 2026 07:28:00 GMT" }) {
        CAPTURE(malformed);
        CHECK(parseServerNotice(503, "1", malformed) == ServerNotice { true, Millis(0), true });
    }
    for (const auto* malformed : { "yes", "2", "-", "1,1" }) {
        CAPTURE(malformed);
        CHECK(parseServerNotice(503, malformed, "1.5") == ServerNotice { false, Millis(1'500), true });
    }
}
