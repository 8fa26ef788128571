#include <dandeliondock/quotas/collector_choice.h>

#include <catch2/catch.hpp>

namespace dandeliondock {
namespace {

const DataCentreName a("a");
const DataCentreName b("b");
const QuotaPeer a1{a, Address("10.0.0.1:80")};
const QuotaPeer a2{a, Address("10.0.0.2:80")};
const QuotaPeer b1{b, Address("10.1.0.1:80")};
const QuotaPeer b2{b, Address("10.1.0.2:80")};

CollectorChoice choiceOf()
{
    CollectorChoice choice;
    choice.setPeers({b2, a2, b1, a1});
    return choice;
}

MonotonicTime at(std::int64_t milliseconds)
{
    return MonotonicTime(std::chrono::hours(1) + Milliseconds(milliseconds));
}

} // namespace

// Guards against proxies of one data centre that report to different collectors.
TEST_CASE("the collector is the first proxy of the data centre that responds", "[quotas]")
{
    CollectorChoice choice = choiceOf();
    CHECK(choice.collectorOf(a, at(0)) == a1.address);
    choice.recordFailure(a1.address, at(0));
    CHECK(choice.collectorOf(a, at(1)) == a2.address);
    choice.recordFailure(a2.address, at(1));
    CHECK_FALSE(choice.collectorOf(a, at(2)));
    CHECK(choice.collectorOf(a, at(3'001)) == a1.address);
    CHECK_FALSE(choice.collectorOf(DataCentreName("unknown"), at(0)));
}

// Guards against sums that cross between data centres twice, and against a substitute that nobody hears.
TEST_CASE("each pair of collectors exchanges once, and a substitute calls everyone", "[quotas]")
{
    CollectorChoice choice = choiceOf();
    CHECK(choice.exchangePartners(a1) == QuotaPeers{b1});
    CHECK(choice.exchangePartners(b1).empty());
    CHECK(choice.exchangePartners(a2) == QuotaPeers{a1, b1, b2});
    CHECK(choice.exchangePartners(b2) == QuotaPeers{a1, a2, b1});
}

// Guards against a data centre that stays unknown because its first proxy is lost.
TEST_CASE("another proxy is called after a failed exchange, and the first one again later", "[quotas]")
{
    CollectorChoice choice = choiceOf();
    choice.recordExchangeFailure(b1);
    CHECK(choice.exchangePartners(a1) == QuotaPeers{b2});
    // A substitute calls both; the failure of the second one changes nothing.
    CHECK(choice.exchangePartners(a2) == QuotaPeers{a1, b2, b1});
    choice.recordExchangeFailure(b1);
    CHECK(choice.exchangePartners(a1) == QuotaPeers{b2});
    choice.recordExchangeFailure(b2);
    CHECK(choice.exchangePartners(a1) == QuotaPeers{b1});
}

} // namespace dandeliondock
