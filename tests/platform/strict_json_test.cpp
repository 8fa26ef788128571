#include <platform/strict_json.h>

#include <catch2/catch.hpp>

namespace dandeliondock::platform {

// Guards against one odd row after which a proxy no longer follows the table.
TEST_CASE("a row with fields of the wrong type is left out and counted, the rest of the page is read", "[platform]")
{
    wire::Rows page;
    const auto unreadable = parseStrictRows(R"({"rows":[{"key":"a","ver":1},{"key":7},[],null,{"key":"b","ver":-1},)"
                                            R"({"key":"c","ver":2,"new":{}}],"ver":9,"has_more":true})",
                                            page);
    REQUIRE(unreadable.ok());
    CHECK(*unreadable == 4);
    REQUIRE(page.rows_size() == 2);
    CHECK(page.rows(0).key() == "a");
    CHECK(page.rows(1).key() == "c");
    CHECK(page.ver() == 9);
    CHECK(page.has_more());
    for (const char *text : {"[]", "{", "7", R"({"rows":{}})", R"({"rows":[],"ver":"9"})"}) {
        wire::Rows odd;
        CHECK_FALSE(parseStrictRows(text, odd).ok());
    }
}

// Guards against a configuration with a list of names, such as allowed regions, that ends the control duty's work.
TEST_CASE("a list of strings is read, and one with any other item is refused", "[platform]")
{
    wire::Route route;
    REQUIRE(parseStrictJson(R"({"allowed_regions":["west","east"]})", route).ok());
    REQUIRE(route.allowed_regions_size() == 2);
    CHECK(route.allowed_regions(0) == "west");
    CHECK(route.allowed_regions(1) == "east");
    for (const char *text : {R"({"allowed_regions":["west",7]})", R"({"allowed_regions":[{}]})",
                             R"({"allowed_regions":"west"})", R"({"allowed_regions":[null]})"}) {
        wire::Route odd;
        CHECK_FALSE(parseStrictJson(text, odd).ok());
    }
}

} // namespace dandeliondock::platform
