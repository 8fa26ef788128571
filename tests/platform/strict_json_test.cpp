#include <platform/strict_json.h>

#include <catch2/catch.hpp>

#include <string>

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

// Guards against a short text whose values take many times its length when they are parsed.
TEST_CASE("a text with very many values is refused, a page of rows is not", "[platform]")
{
    const auto pageWith = [](const std::string &row, int count) {
        std::string text = R"({"ver":9,"now_ms":1,"has_more":false,"rows":[)" + row;
        for (int index = 1; index < count; ++index)
            text += "," + row;
        return text + "]}";
    };
    wire::Rows page;
    const std::string row = R"({"table":"t","part":"","key":"k","value":"","ver":1})";
    CHECK(parseStrictRows(pageWith(row, 500), page).ok());
    CHECK(page.rows_size() == 500);
    wire::Rows changes; // as many values as a configuration of 25,000 routes
    CHECK(parseStrictRows(pageWith(row, 41'000), changes).ok());
    wire::Rows odd;
    CHECK_FALSE(parseStrictRows(pageWith("0", 270'000), odd).ok());
    CHECK_FALSE(parseStrictRows(pageWith("{}", 270'000), odd).ok());
    CHECK_FALSE(parseStrictRows(pageWith("[]", 270'000), odd).ok());
}

} // namespace dandeliondock::platform
