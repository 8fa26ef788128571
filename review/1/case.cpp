// TWICE: a route's prefix matches a path that it does not begin, so that a request of an unsafe route is handled as one
// of a safe route and is repeated after its answer was lost.
#include "harness.h"

using namespace review;

int main()
{
    Record record("review/1/record.txt");
    TemporaryFolder folder;
    Store store;
    const Machine first("sidecar-em-a-1", "127.0.1.1", "order-book");
    const Machine second("sidecar-em-a-2", "127.0.1.2", "order-book");
    folder.owns(first.name);
    folder.owns(second.name);
    store.put("op", "config",
              config(5,
                     {{"orders", route("/orders/", "unsafe", "order-book", 1)},
                      {"prices", route("/orders/prices/", "safe", "order-book", 2)}},
                     {"order-book"}));
    Backend one(first, record, "i-one");
    Backend two(second, record, "i-two");
    ProxyProcess proxyOne(first, store.address(), record, folder.path());
    ProxyProcess proxyTwo(second, store.address(), record, folder.path());
    one.startBeats();
    two.startBeats();
    proxyOne.awaitReady();
    proxyTwo.awaitReady();
    sleepMs(5'000); // both machines are in touch

    // The disruption, answer_lost: for 4 s one of the two back ends loses every twentieth answer after the run.
    std::atomic<bool> isLosing{false};
    std::atomic<int> runsInWindow{0};
    one.losesAnswer = [&](const Backend::Run &) { return isLosing && ++runsInWindow % 20 == 10; };
    std::thread disruption([&] {
        sleepMs(500);
        isLosing = isTroubleOn();
        sleepMs(4'000);
        isLosing = false;
    });

    int answered = 0;
    const int requests = 300;
    for (int number = 0; number < requests; ++number) {
        const std::string id = "order-" + std::to_string(number);
        // No slash at the end: only the prefix /orders/ begins this path.
        const Message request = clientRequest("POST", "orders.example", "/orders/prices", id, 2'500, "a feed order");
        answered += callAsClient(record, number % 2 == 0 ? first : second, request, 2'500) == 200 ? 1 : 0;
        sleepMs(10);
    }
    disruption.join();
    std::map<std::string, int> runsOf;
    for (Backend *backend : {&one, &two}) {
        for (const Backend::Run &run : backend->runs())
            ++runsOf[run.id];
    }
    int twice = 0;
    for (const auto &[id, count] : runsOf) {
        if (count > 1) {
            ++twice;
            record.line("TWICE: id " + id + " ran " + std::to_string(count) + " times");
        }
    }
    record.line("sent " + std::to_string(requests) + ", answered 200 " + std::to_string(answered) + ", ran twice "
                + std::to_string(twice));
    if (answered < requests / 2)
        notRun("fewer than half of the requests were answered");
    std::cout << "requests of an unsafe route that ran more than once: " << twice << std::endl;
    return twice > 0 ? exitBroken : exitHeld;
}
