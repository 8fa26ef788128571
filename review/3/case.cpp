// DRAIN: a proxy that was killed and started again knows nothing of a leave that it acknowledged before. A delayed
// heartbeat of the back end puts it back into use.
#include "harness.h"

using namespace review;

namespace {

constexpr long drainMs = 2'000;  // bounds.drain_ms
constexpr int contactMs = 3'000; // bounds.contact_ms

} // namespace

int main()
{
    Record record("review/3/record.txt");
    TemporaryFolder folder;
    Store store;
    const Machine first("sidecar-em-a-1", "127.0.1.1", "quote-desk");
    const Machine second("sidecar-em-a-2", "127.0.1.2", "quote-desk");
    folder.owns(first.name);
    folder.owns(second.name);
    store.put("op", "config", config(5, {{"prices", route("/prices/", "safe", "quote-desk", 2)}}, {"quote-desk"}));
    Backend one(first, record, "i-one");
    Backend two(second, record, "i-two");
    ProxyProcess proxyOne(first, store.address(), record, folder.path());
    ProxyProcess proxyTwo(second, store.address(), record, folder.path());
    one.startBeats();
    two.startBeats();
    proxyOne.awaitReady();
    proxyTwo.awaitReady();
    sleepMs(4'000); // both machines are in touch

    // The back end says that it leaves, with no draining before, and serves on. Its last heartbeat is on its way still.
    one.stopBeats();
    const json lastBeat = one.beatBody("ready", ++one.sequence);
    const long beatSentAt = record.ms();
    record.line("i-one sends heartbeat " + lastBeat.dump() + ", which is delayed");
    sleepMs(100);
    if (one.leave() != 200)
        notRun("the leave was not acknowledged");
    const long acknowledgedAt = record.ms();
    record.line("i-one leave acknowledged");
    sleepMs(500);

    // The disruption: the process beside it is killed and started again.
    if (isTroubleOn()) {
        proxyOne.kill();
        sleepMs(500);
        proxyOne.start();
    }
    proxyTwo.awaitReady();
    proxyOne.awaitReady();
    const long readyAt = record.ms();
    sleepMs(1'000);
    const int status = one.send("heartbeat", lastBeat);
    record.line("the delayed heartbeat arrives after " + std::to_string(record.ms() - beatSentAt) + " ms and gets "
                + std::to_string(status));
    sleepMs(contactMs); // the machine that was started again is in touch

    std::atomic<bool> isOver{false};
    std::vector<std::thread> clients;
    for (int client = 0; client < 4; ++client) {
        clients.emplace_back([&, client] {
            for (int number = 0; !isOver; ++number) {
                const std::string id = "price-" + std::to_string(client) + "-" + std::to_string(number);
                callAsClient(record, second, clientRequest("GET", "orders.example", "/prices/1", id, 2'000), 2'000);
                sleepMs(50);
            }
        });
    }
    sleepMs(4'000);
    isOver = true;
    for (std::thread &client : clients)
        client.join();
    int late = 0;
    for (const Backend::Run &run : one.runs()) {
        if (run.at > acknowledgedAt + drainMs && run.at > readyAt + contactMs) {
            ++late;
            record.line("DRAIN: id " + run.id + " ran " + std::to_string(run.at - acknowledgedAt)
                        + " ms after the acknowledgement");
        }
    }
    if (two.runs().empty())
        notRun("the other back end served nothing");
    std::cout << "requests that ran more than drain_ms after the leave was acknowledged: " << late << std::endl;
    return late > 0 ? exitBroken : exitHeld;
}
