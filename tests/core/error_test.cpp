#include <dandeliondock/core/error.h>

#include <catch2/catch.hpp>

#include <set>

namespace dandeliondock {

// Guards against an error whose kind is lost, or whose message does not tell the reader what to do.
TEST_CASE("every error kind keeps its kind and names a remedy", "[core]")
{
    std::set<std::string> names;
    for (int value = static_cast<int>(ErrorKind::InvalidSettings); value <= static_cast<int>(ErrorKind::Internal);
         ++value) {
        const auto kind = static_cast<ErrorKind>(value);
        const absl::Status status = makeError(kind, "detail");
        CHECK_FALSE(status.ok());
        CHECK(errorKind(status) == kind);
        CHECK_FALSE(errorRemedy(kind).empty());
        CHECK(std::string(status.message()) == "detail; " + std::string(errorRemedy(kind)));
        CHECK(names.insert(std::string(errorKindName(kind))).second);
    }
}

// Guards against a status made by a library being taken for one of this project's kinds.
TEST_CASE("statuses made elsewhere are internal errors", "[core]")
{
    CHECK(errorKind(absl::OkStatus()) == ErrorKind::None);
    CHECK(errorKind(absl::UnavailableError("x")) == ErrorKind::Internal);
}

} // namespace dandeliondock
