// A configuration adds an unsafe route for the loading docks. Its requests must be served as often as those on the
// first route.
#include "../standins-2/standins.h"

using namespace review;

namespace {

constexpr long contactMs = 3'000;
constexpr long configApplyMs = 2'000;

json configuration(const std::string &version, bool hasDocks)
{
    json routes = {{"orders", route("/orders/", "doc-store", "unsafe")}};
    if (hasDocks)
        routes["docks"] = route("/dock/", "doc-store", "unsafe");
    return {{"version", version},
            {"routes", routes},
            {"services", {{"quote-desk", service()}, {"doc-store", service()}}},
            {"limits", limits()}};
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Runs runs(record);
    Store store(record);
    TemporaryFolder folder;
    store.put("op", "config", configuration("r1", false).dump());

    std::vector<Machine> machines;
    for (const char *name : {"quote-desk", "doc-store"}) {
        for (const char *zone : {"em-a", "em-b"}) {
            Machine machine;
            machine.name = std::string(name) + "-" + zone;
            machine.service = name;
            machine.zone = zone;
            machines.push_back(machine);
        }
    }
    std::vector<std::unique_ptr<Proxy>> proxies;
    std::vector<std::unique_ptr<Backend>> backends;
    for (const Machine &machine : machines) {
        proxies.push_back(std::make_unique<Proxy>(machine, store, folder, record));
        backends.push_back(std::make_unique<Backend>(machine, "i-" + machine.name, record, runs));
    }
    for (const auto &proxy : proxies) {
        if (!proxy->awaitReady(15'000))
            return couldNotRun;
    }
    sleepMs(4'000);
    store.put("op", "config", configuration("r2", true).dump());
    sleepMs(configApplyMs + contactMs);

    // Clients of the quote-desk machines. Without the names that the product uses itself, the docks have numbers.
    const std::vector<std::string> pages =
            isTroubleOn() ? std::vector<std::string>{"table", "outcomes"} : std::vector<std::string>{"1", "2"};
    int firstSent = 0;
    int firstServed = 0;
    int addedSent = 0;
    int addedServed = 0;
    int addedRun = 0;
    for (int round = 0; round < 10; ++round) {
        for (const Machine &machine : machines) {
            if (machine.service != "quote-desk")
                continue;
            for (const std::string &page : pages) {
                ++firstSent;
                const Answer first =
                        send(machine, {.method = "POST", .path = "/orders/" + page, .body = "order"}, record);
                firstServed += first.status == 200 ? 1 : 0;
                ++addedSent;
                const Answer answer =
                        send(machine, {.method = "POST", .path = "/dock/" + page, .body = "order"}, record);
                addedServed += answer.status == 200 ? 1 : 0;
                addedRun += runs.of(answer.attempt).empty() ? 0 : 1;
            }
        }
        sleepMs(50);
    }
    record.line("requests on the first route: " + std::to_string(firstServed) + " of " + std::to_string(firstSent)
                + " served; on the route that was added later: " + std::to_string(addedServed) + " of "
                + std::to_string(addedSent) + " served, " + std::to_string(addedRun) + " run by a backend");
    if (firstServed < firstSent / 2)
        return couldNotRun;
    const bool isBroken = addedSent >= 20 && addedServed * firstSent * 4 < firstServed * addedSent;
    record.line(isBroken ? "RULE BROKEN" : "rule held");
    return isBroken ? broken : held;
}
