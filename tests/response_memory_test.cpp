// Memory of responses that are being read from servers of which some send without end.
#include "web/ResponseMemory.h"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace cumindale;

// Guards against proper responses that are given up because a faulty one takes all the memory.
TEST_CASE("the largest response is cut off when the memory is used up, and the others go on")
{
    constexpr size_t limit = 1'000;
    ResponseMemory memory(limit);
    size_t cutOff = 0;
    ResponseMemory::Reader endless(memory, [&] { ++cutOff; });
    ResponseMemory::Reader proper(memory, [&] { ++cutOff; });
    CHECK(endless.grow(700));
    CHECK(proper.grow(200));
    CHECK(proper.grow(400));
    CHECK(cutOff == 1);
    CHECK(endless.isCutOff());
    CHECK_FALSE(proper.isCutOff());
    CHECK(memory.used() == 400);
    CHECK_FALSE(proper.grow(limit + 1)); // now it is the largest one itself
    CHECK(cutOff == 1);
}

TEST_CASE("many responses without end never use more than the limit, and a response that ends gives its memory back")
{
    constexpr size_t limit = 100'000;
    ResponseMemory memory(limit);
    std::vector<std::unique_ptr<ResponseMemory::Reader>> endless;
    for (size_t i = 0; i < 50; ++i)
        endless.push_back(std::make_unique<ResponseMemory::Reader>(memory, [] {}));
    for (size_t bytes = 1'000; bytes < limit; bytes += 1'000) {
        for (const auto& reader : endless) {
            if (!reader->isCutOff())
                reader->grow(bytes);
            CHECK(memory.used() <= limit);
        }
    }
    endless.clear();
    CHECK(memory.used() == 0);
}
