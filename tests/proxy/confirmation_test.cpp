#include "support/loop_thread.h"
#include "support/table_versions.h"

#include <dandeliondock/proxy/control_duty.h>

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace dandeliondock::testing {
namespace {

const TableName table("op");

} // namespace

// Guards against confirmations that wake the traffic duty for each response or precede the configuration that they
// confirm, and against a deployment without accounts that gets none.
TEST_CASE("the control duty publishes confirmations after the configuration, and few of them", "[proxy]")
{
    const auto run = [](bool hasAccounts) {
        LoopThread thread;
        std::vector<ControlUpdate> updates;
        std::vector<LoopTimer> timers;
        ControlDutyDependencies dependencies;
        const auto respond = [&](TableReadHandler handler, Milliseconds delay, bool isFull) {
            timers.push_back(thread.loop().after(delay, [handler = std::move(handler), isFull] {
                TableReadResult result;
                result.asOfVersion = tableVersion(5);
                if (isFull)
                    result.put({RowKey("config"), RowVersion(5), ""});
                result.confirmedAt = BootClock::now();
                handler(result);
            }));
        };
        dependencies.table.read = [&](const TableName &, const RowKey &, TableReadHandler handler) {
            respond(std::move(handler), Milliseconds(0), false);
        };
        dependencies.table.list = [&](const TableName &, TableReadHandler handler) {
            respond(std::move(handler), Milliseconds(0), true);
        };
        dependencies.table.pollChanges = [&](const TableName &, const TableVersion &, Milliseconds,
                                             TableReadHandler handler) {
            respond(std::move(handler), Milliseconds(10), false);
        };
        dependencies.documents.table = table;
        dependencies.documents.evacuatedDataCentre = [](const RowKey &) -> std::optional<DataCentreName> {
            return std::nullopt;
        };
        dependencies.documents.read = [hasAccounts](const TableRow &, StoreEra) -> absl::StatusOr<OperatorDocument> {
            std::vector<ClientAccount> accounts;
            if (hasAccounts)
                accounts.push_back({AccountName("mill"), {}, {}, {}, {}});
            auto state = ConfigState::fromSnapshot(RevisionNumber(7), {});
            return std::make_shared<const ProxyConfig>(std::make_shared<const ConfigState>(*std::move(state)),
                                                       ConnectionLimits(),
                                                       *AccountDirectory::create(std::move(accounts)));
        };
        dependencies.random = seededRandom(1);
        dependencies.publish = [&updates](ControlUpdate update) { updates.push_back(std::move(update)); };
        MetricsRegistry metrics;
        std::unique_ptr<AsyncHttpClient> client;
        std::unique_ptr<ControlDuty> duty;
        thread.run([&] {
            client = std::make_unique<AsyncHttpClient>(thread.loop());
            dependencies.loop = &thread.loop();
            dependencies.client = client.get();
            dependencies.metrics = &metrics;
            duty = std::make_unique<ControlDuty>(dependencies);
            duty->start();
        });
        std::this_thread::sleep_for(coldStartSpread + Milliseconds(1'500));
        thread.run([&] {
            timers.clear();
            duty.reset();
            client.reset();
        });
        return updates;
    };
    for (const bool hasAccounts : {true, false}) {
        std::size_t confirmations = 0;
        bool hasConfig = false;
        bool isSynced = false;
        for (const ControlUpdate &update : run(hasAccounts)) {
            hasConfig = hasConfig || std::holds_alternative<ProxyConfigPtr>(update);
            isSynced = isSynced || std::holds_alternative<InitialSyncDone>(update);
            if (const auto *confirmed = std::get_if<ConfigConfirmed>(&update)) {
                ++confirmations;
                CHECK(hasConfig);
                CHECK(confirmed->revision == RevisionNumber(7));
                CHECK((confirmations > 1 || !isSynced));
            }
        }
        CHECK(confirmations > 1);
        CHECK(confirmations <= (coldStartSpread + Milliseconds(1'500)) / confirmationInterval + 1);
    }
}

} // namespace dandeliondock::testing
