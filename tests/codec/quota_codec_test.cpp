#include <dandeliondock/codec/quota_codec.h>
#include <dandeliondock/core/checked_number.h>
#include <dandeliondock/core/error.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <quotas.pb.h>

#include <string>

namespace dandeliondock {
namespace {

AccountUsages usages()
{
    return {{AccountName("mill"), RequestRate(4.625), RequestRate(0.5), RequestAmount(21)},
            {AccountName("farm"), RequestRate(0), RequestRate(0), RequestAmount(1)}};
}

} // namespace

// Guards against fields that are lost or exchanged between encoder and decoder.
TEST_CASE("quota messages are decoded as they were encoded", "[codec][quotas]")
{
    const QuotaReport report{Address("10.0.0.1:80"), {Incarnation(5), SequenceNumber(9)}, usages()};
    const auto decodedReport = decodeQuotaReport(encodeQuotaReport(report));
    REQUIRE(decodedReport.ok());
    CHECK(*decodedReport == report);
    const QuotaSums sums{Address("10.0.0.1:80"), {Incarnation(5), SequenceNumber(9)}, DataCentreName("a"), usages()};
    const auto decodedSums = decodeQuotaSums(encodeQuotaSums(sums));
    REQUIRE(decodedSums.ok());
    CHECK(*decodedSums == sums);
    const QuotaGrants grants{{{AccountName("mill"), Share(1'234)}}, 80};
    const auto decodedGrants = decodeQuotaGrants(encodeQuotaGrants(grants));
    REQUIRE(decodedGrants.ok());
    CHECK(*decodedGrants == grants);
}

// Guards against messages of another writer that name nothing or take numbers out of range.
TEST_CASE("quota messages with odd fields are refused", "[codec][quotas]")
{
    const auto isRefused = [](const auto &decoded) { return errorKind(decoded.status()) == ErrorKind::InvalidMessage; };
    wire::QuotaReport report;
    CHECK(isRefused(decodeQuotaReport(report.SerializeAsString())));
    report.set_sender("10.0.0.1:80");
    CHECK(decodeQuotaReport(report.SerializeAsString()).ok());
    report.add_usage();
    CHECK(isRefused(decodeQuotaReport(report.SerializeAsString())));
    report.mutable_usage(0)->set_account("mill");
    report.mutable_usage(0)->set_in_window(maxMessageCount + 1);
    CHECK(isRefused(decodeQuotaReport(report.SerializeAsString())));
    wire::QuotaSums sums;
    sums.set_collector("10.0.0.1:80");
    CHECK(isRefused(decodeQuotaSums(sums.SerializeAsString())));
    wire::QuotaGrants grants;
    grants.add_accounts()->set_account("mill");
    grants.mutable_accounts(0)->set_share(fullShare.value() + 1);
    CHECK(isRefused(decodeQuotaGrants(grants.SerializeAsString())));
}

// Guards against messages that use memory without a bound.
TEST_CASE("quota messages with too many accounts are refused", "[codec][quotas]")
{
    QuotaReport report{Address("10.0.0.1:80"), {Incarnation(5), SequenceNumber(9)}, {}};
    for (std::size_t account = 0; account <= maxQuotaAccounts; ++account)
        report.usage.push_back({AccountName(absl::StrCat(account)), {}, {}, {}});
    CHECK_FALSE(decodeQuotaReport(encodeQuotaReport(report)).ok());
}

// Guards against bytes that end the process or are taken for something else.
TEST_CASE("arbitrary bytes in place of quota messages are decoded or refused", "[codec][quotas]")
{
    rc::prop("any bytes", [](const std::string &bytes) {
        static_cast<void>(decodeQuotaReport(bytes).ok());
        static_cast<void>(decodeQuotaSums(bytes).ok());
        static_cast<void>(decodeQuotaGrants(bytes).ok());
    });
}

} // namespace dandeliondock
