// What servers say of themselves in their answers.
#include "decisions/ServerNotice.h"

#include <doctest/doctest.h>

using namespace cumindale;

TEST_CASE("a server says that it leaves, or wants rest, in either or both ways")
{
    CHECK(noticeIn(200, "1", "") == ServerNotice { true, Millis(0), false });
    CHECK(noticeIn(503, "", "3") == ServerNotice { false, Millis(3'000), false });
    CHECK(noticeIn(503, " 1 ", " 0.25 ") == ServerNotice { true, Millis(250), false });
    CHECK(noticeIn(503, "1", "2.0001") == ServerNotice { true, Millis(2'001), false });
    CHECK_FALSE(noticeIn(200, "", "").any());
    CHECK_FALSE(noticeIn(200, "0", "").any());
    CHECK_FALSE(noticeIn(503, "", "0").any());
}

// Guards against rest that is taken from an answer that refuses nothing.
TEST_CASE("only a refusal asks for rest")
{
    CHECK_FALSE(noticeIn(200, "", "3").any());
    CHECK_FALSE(noticeIn(429, "", "3").any());
    CHECK_FALSE(noticeIn(500, "", "soon").any());
}

// Guards against a limit that is not read, or read as a higher one.
TEST_CASE("a server names how many requests a second it takes")
{
    CHECK(noticeIn(200, "", "", "1.6").limit == 1.6);
    CHECK(noticeIn(503, "1", "3", " 25 ").limit == 25);
    CHECK(noticeIn(200, "", "", "0").limit == 0);
    CHECK(noticeIn(200, "", "", "1e9").limit == 1e9);
    CHECK(noticeIn(200, "", "", "4, 2.5,3").limit == 2.5);
    CHECK_FALSE(noticeIn(200, "", "").limit);
    CHECK_FALSE(noticeIn(200, "", "").limitUnclear);
    const ServerNotice partly = noticeIn(200, "", "", "few,2");
    CHECK(partly.limit == 2);
    CHECK(partly.odd);
    CHECK_FALSE(partly.limitUnclear);
    for (const auto* odd : { "-1", "few", "nan", "inf", "1e400", "2/s", "," }) {
        CAPTURE(odd);
        const ServerNotice notice = noticeIn(200, "", "", odd);
        CHECK(notice.odd);
        CHECK(notice.limitUnclear);
        CHECK_FALSE(notice.limit);
    }
}

// Guards against a value that nobody understands and that takes a server out of service.
TEST_CASE("odd values count as not said, and don't hide the other part")
{
    for (const auto* odd :
        { "soon", "-1", "nan", "inf", "1e12", "601", "3s", "0x3", "Wed, 21 Oct 2026 07:28:00 GMT" }) {
        CAPTURE(odd);
        CHECK(noticeIn(503, "1", odd) == ServerNotice { true, Millis(0), true });
    }
    for (const auto* odd : { "yes", "2", "-", "1,1" }) {
        CAPTURE(odd);
        CHECK(noticeIn(503, odd, "1.5") == ServerNotice { false, Millis(1'500), true });
    }
}
