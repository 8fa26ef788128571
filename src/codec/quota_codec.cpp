#include <dandeliondock/codec/protobuf_codec.h>
#include <dandeliondock/codec/quota_codec.h>
#include <dandeliondock/core/checked_number.h>
#include <dandeliondock/settings/ip_address.h>

#include <quotas.pb.h>

#include <algorithm>
#include <cmath>

namespace dandeliondock {

namespace {

constexpr double rateUnits = 1'000;
// Largest value of a 32-bit number that a rate in thousandths may take.
constexpr double maxRate = maxMessageCount;

using WireUsages = google::protobuf::RepeatedPtrField<wire::AccountUsage>;

std::uint32_t encodeRate(RequestRate rate)
{
    return static_cast<std::uint32_t>(std::llround(std::clamp(rate.value(), 0.0, maxRate) * rateUnits));
}

std::uint32_t encodeAmount(RequestAmount amount)
{
    return static_cast<std::uint32_t>(std::llround(std::clamp<double>(amount.value(), 0.0, maxMessageCount)));
}

RequestRate decodeRate(std::uint32_t units)
{
    return RequestRate(static_cast<double>(units) / rateUnits);
}

absl::Status invalidMessage(absl::string_view reason)
{
    return makeError(ErrorKind::InvalidMessage, reason);
}

void encodeUsages(const AccountUsages &usages, WireUsages &items)
{
    for (const AccountUsage &usage : usages) {
        wire::AccountUsage &item = *items.Add();
        item.set_account(usage.account.value());
        item.set_offered_milli(encodeRate(usage.offered));
        item.set_admitted_milli(encodeRate(usage.admitted));
        item.set_in_window(encodeAmount(usage.admittedInWindow));
    }
}

absl::StatusOr<AccountUsages> decodeUsages(const WireUsages &items)
{
    if (static_cast<std::size_t>(items.size()) > maxQuotaAccounts)
        return invalidMessage("too many accounts in a quota message");
    AccountUsages usages;
    usages.reserve(static_cast<std::size_t>(items.size()));
    for (const wire::AccountUsage &item : items) {
        const auto inWindow = checkedCount(item.in_window());
        if (item.account().empty() || !inWindow)
            return invalidMessage("the usage of an account has no name or a number out of range");
        usages.push_back({AccountName(item.account()), decodeRate(item.offered_milli()),
                          decodeRate(item.admitted_milli()), RequestAmount(*inWindow)});
    }
    return usages;
}

} // namespace

std::string encodeQuotaReport(const QuotaReport &report)
{
    wire::QuotaReport message;
    message.set_sender(report.sender.value());
    message.set_incarnation(report.stamp.incarnation.value());
    message.set_sequence(report.stamp.sequence.value());
    encodeUsages(report.usage, *message.mutable_usage());
    return message.SerializeAsString();
}

absl::StatusOr<QuotaReport> decodeQuotaReport(absl::string_view bytes)
{
    const auto message = parseMessage<wire::QuotaReport>(bytes, ErrorKind::InvalidMessage, "a quota report");
    if (!message.ok())
        return message.status();
    if (!parseIpEndpoint(message->sender()))
        return invalidMessage("the sender of a quota report must be an IP address and a port");
    auto usage = decodeUsages(message->usage());
    if (!usage.ok())
        return usage.status();
    return QuotaReport{Address(message->sender()),
                       {Incarnation(message->incarnation()), SequenceNumber(message->sequence())},
                       *std::move(usage)};
}

std::string encodeQuotaGrants(const QuotaGrants &grants)
{
    wire::QuotaGrants message;
    message.set_proxies(grants.proxies);
    for (const AccountGrant &grant : grants.accounts) {
        wire::AccountGrant &item = *message.add_accounts();
        item.set_account(grant.account.value());
        item.set_share(grant.admitted.value());
    }
    return message.SerializeAsString();
}

absl::StatusOr<QuotaGrants> decodeQuotaGrants(absl::string_view bytes)
{
    const auto message =
            parseMessage<wire::QuotaGrants>(bytes, ErrorKind::InvalidMessage, "a response to a quota report");
    if (!message.ok())
        return message.status();
    const auto proxies = checkedCount(message->proxies());
    if (!proxies || static_cast<std::size_t>(message->accounts_size()) > maxQuotaAccounts)
        return invalidMessage("a response to a quota report has a number out of range");
    QuotaGrants grants;
    grants.proxies = *proxies;
    for (const wire::AccountGrant &item : message->accounts()) {
        if (item.account().empty() || item.share() > fullShare.value())
            return invalidMessage("the grant of an account has no name or a share out of range");
        grants.accounts.push_back({AccountName(item.account()), Share(item.share())});
    }
    return grants;
}

std::string encodeQuotaSums(const QuotaSums &sums)
{
    wire::QuotaSums message;
    message.set_collector(sums.collector.value());
    message.set_incarnation(sums.stamp.incarnation.value());
    message.set_sequence(sums.stamp.sequence.value());
    message.set_data_centre(sums.dataCentre.value());
    encodeUsages(sums.usage, *message.mutable_usage());
    return message.SerializeAsString();
}

absl::StatusOr<QuotaSums> decodeQuotaSums(absl::string_view bytes)
{
    const auto message =
            parseMessage<wire::QuotaSums>(bytes, ErrorKind::InvalidMessage, "the sums of a quota collector");
    if (!message.ok())
        return message.status();
    if (!parseIpEndpoint(message->collector()) || message->data_centre().empty())
        return invalidMessage("the sums of a quota collector need its address and data centre");
    auto usage = decodeUsages(message->usage());
    if (!usage.ok())
        return usage.status();
    return QuotaSums{Address(message->collector()),
                     {Incarnation(message->incarnation()), SequenceNumber(message->sequence())},
                     DataCentreName(message->data_centre()),
                     *std::move(usage)};
}

} // namespace dandeliondock
