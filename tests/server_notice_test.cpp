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
