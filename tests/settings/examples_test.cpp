#include <dandeliondock/codec/ticket_codec.h>
#include <dandeliondock/config/config_store.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/settings/node_settings.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <set>

namespace dandeliondock {
namespace {

std::vector<std::filesystem::path> exampleFiles(const std::string &example, const std::string &prefix)
{
    std::vector<std::filesystem::path> files;
    for (const auto &entry :
         std::filesystem::directory_iterator(std::filesystem::path(DANDELIONDOCK_EXAMPLES) / example)) {
        if (entry.path().filename().string().rfind(prefix, 0) == 0)
            files.push_back(entry.path());
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

// Guards against example files that the programs reject.
TEST_CASE("the settings and tickets of the examples are valid", "[settings]")
{
    const std::string example = GENERATE("feedshare", "bulletin-office");
    std::set<DataCentreName> dataCentres;
    for (const auto &file : exampleFiles(example, "node-")) {
        const auto settings = parseNodeSettings(*readFile(file.string()));
        INFO(file << " " << settings.status());
        REQUIRE(settings.ok());
        dataCentres.insert(settings->dataCentre);
    }
    CHECK(dataCentres.size() == 4);
    ConfigStore config;
    for (const auto &file : exampleFiles(example, "ticket-")) {
        const auto ticket = parseTicket(*readFile(file.string()));
        INFO(file << " " << ticket.status());
        REQUIRE(ticket.ok());
        const RevisionNumber next(config.current()->revision().value() + 1);
        const absl::Status applied = config.apply({next, *ticket, WallTime{}});
        INFO(applied);
        CHECK(applied.ok());
    }
    CHECK(config.current()->revision() == RevisionNumber(2));
}

} // namespace dandeliondock
