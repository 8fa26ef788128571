// The store comes back from a copy some seconds old; a configuration that the operator writes afterwards must come into
// force at every proxy.
#include "../standins-2/standins.h"

using namespace review;

namespace {

constexpr long contactMs = 3'000;
constexpr long configApplyMs = 2'000;
constexpr long maxStretchMs = 5'000;

json configuration(const std::string &version, const std::string &pricesService, bool hasNewRoute)
{
    json routes = {{"prices", route("/prices/", pricesService)},
                   {"orders", route("/orders/", "order-book", "unsafe")},
                   {"documents", route("/documents/", "doc-store")}};
    if (hasNewRoute)
        routes["slots"] = route("/slots/", "order-book");
    return {{"version", version},
            {"routes", routes},
            {"services", {{"quote-desk", service()}, {"order-book", service()}, {"doc-store", service()}}},
            {"limits", limits()}};
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Runs runs(record);
    Store store(record);
    TemporaryFolder folder;
    store.put("op", "config", configuration("r1", "quote-desk", false).dump());

    std::vector<Machine> machines;
    for (const char *name : {"quote-desk", "order-book", "doc-store"}) {
        for (const char *zone : {"em-a", "em-b"}) {
            Machine machine;
            machine.name = std::string(name) + "-" + zone;
            machine.service = name;
            machine.zone = zone;
            machines.push_back(machine);
        }
    }
    std::vector<std::unique_ptr<Proxy>> proxies;
    std::map<std::string, std::unique_ptr<Backend>> backends;
    for (const Machine &machine : machines) {
        proxies.push_back(std::make_unique<Proxy>(machine, store, folder, record));
        backends[machine.name] = std::make_unique<Backend>(machine, "i-" + machine.name, record, runs);
    }
    for (const auto &proxy : proxies) {
        if (!proxy->awaitReady(15'000)) {
            record.line("a proxy is not ready");
            return couldNotRun;
        }
    }
    sleepMs(4'000);
    for (const Machine &machine : machines) {
        if (send(machine, {.path = "/prices/1"}, record).status != 200)
            return couldNotRun;
    }

    // A release of doc-store: each backend drains, leaves and is followed by a new one.
    store.takeCopy();
    for (const Machine &machine : machines) {
        if (machine.service != "doc-store")
            continue;
        auto &backend = backends[machine.name];
        backend->drain();
        backend->leave();
        backend.reset();
        backend = std::make_unique<Backend>(machine, "i-new-" + machine.name, record, runs);
        sleepMs(300);
    }
    sleepMs(700);
    if (isTroubleOn()) {
        store.goAway();
        sleepMs(1'000);
        store.comeBackFromCopy();
    } else {
        sleepMs(1'000);
    }
    sleepMs(contactMs + 1'000);

    store.put("op", "config", configuration("r2", "doc-store", true).dump());
    const long acknowledgedAt = nowMs();
    int oldHandling = 0;
    int newHandling = 0;
    int other = 0;
    for (const long after : {configApplyMs + maxStretchMs + 1'000, configApplyMs + maxStretchMs + 8'000,
                             configApplyMs + maxStretchMs + 15'000}) {
        sleepMs(acknowledgedAt + after - nowMs());
        for (const Machine &machine : machines) {
            const Answer moved = send(machine, {.path = "/prices/2"}, record);
            const Answer added = send(machine, {.path = "/slots/1"}, record);
            for (const Run &run : runs.of(moved.attempt))
                ++(run.service == "quote-desk" ? oldHandling : newHandling);
            if (added.status == 404)
                ++oldHandling;
            else if (added.status == 200)
                ++newHandling;
            else
                ++other;
        }
    }
    record.line("requests sent later than config_apply_ms + max_stretch_ms after the acknowledgement of r2: "
                + std::to_string(oldHandling) + " handled as only r1 allows, " + std::to_string(newHandling)
                + " as r2 allows, " + std::to_string(other) + " otherwise");
    record.line(oldHandling > 0 ? "RULE BROKEN" : "rule held");
    if (oldHandling == 0 && newHandling == 0)
        return couldNotRun;
    return oldHandling > 0 ? broken : held;
}
