#include <dandeliondock/core/error.h>

#include <catch2/catch.hpp>

#include <set>

namespace dandeliondock {

// Guards against an error that loses its kind, or whose message has no remedy.
TEST_CASE("an error of every kind keeps its kind and has a remedy", "[core]")
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

// Guards against a status created by a library being assigned one of this project's kinds.
TEST_CASE("statuses that makeError() did not create are internal errors", "[core]")
{
    CHECK(errorKind(absl::OkStatus()) == ErrorKind::None);
    CHECK(errorKind(absl::UnavailableError("x")) == ErrorKind::Internal);
}

} // namespace dandeliondock
