#include <dandeliondock/proxy/server_load.h>

#include <catch2/catch.hpp>

namespace dandeliondock {

TEST_CASE("the load of a target is read with and without its current work time", "[proxy]")
{
    CHECK(parseServerLoad("3,1,18") == ServerLoad{3, 1, 18, 0});
    CHECK(parseServerLoad("3, 1, 18, 170") == ServerLoad{3, 1, 18, 170});
    CHECK(parseServerLoad("17,1,18,100")->isFull());
    CHECK_FALSE(parseServerLoad("17,0,18,100")->isFull());
}

// Guards against figures of a target that overflow a counter or stand for another load than the one meant.
TEST_CASE("a load that cannot be read counts as absent", "[proxy]")
{
    for (const char *header : {"", "3", "3,1", "3,1,18,100,7", "3,1,0", "-1,0,18", "3,1,99999999999", "3,1,18,10001",
                               "3,1,18,", "a,b,c", "3,1,18,1e2", "3;1;18"})
        CHECK_FALSE(parseServerLoad(header).has_value());
}

} // namespace dandeliondock
