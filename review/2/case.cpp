// CONFIG: the entries of machines that were lost for good stay in the table for ever. When the first machines of a
// region are lost ones, the others do not ask the store for changes and learn of a configuration late.
#include "harness.h"

using namespace review;

namespace {

constexpr int applyMs = 2'000; // bounds.config_apply_ms
constexpr int lostMachines = 24;
constexpr int liveMachines = 10;
constexpr int versions = 60;
constexpr int gapMs = 330; // config_storm: a change each 0.33 s

/// An address that answers no connection, like a machine without power.
class SilentAddress
{
public:
    explicit SilentAddress(const std::string &address)
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in at = socketAddress(address);
        if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0 || ::listen(m_fd, 0) != 0)
            notRun("cannot take over " + address);
        // Fills the queue of connections, so that each further opening packet is dropped.
        for (int index = 0; index < 4; ++index) {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            ::connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at);
            m_fillers.push_back(fd);
        }
    }
    ~SilentAddress()
    {
        for (const int fd : m_fillers)
            ::close(fd);
        ::close(m_fd);
    }

private:
    int m_fd = -1;
    std::vector<int> m_fillers;
};

json configWith(int version)
{
    json routes;
    for (int number = 1; number <= version; ++number)
        routes["r" + std::to_string(number)] = route("/n" + std::to_string(number) + "/", "safe", "quote-desk", 2);
    return config(version, routes, {"quote-desk"});
}

} // namespace

int main()
{
    Record record("review/2/record.txt");
    TemporaryFolder folder;
    Store store;
    store.put("op", "config", configWith(1));

    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::unique_ptr<Backend>> backends;
    std::vector<std::unique_ptr<ProxyProcess>> proxies;
    for (int number = 0; number < lostMachines + liveMachines; ++number) {
        // The older machines have the lower addresses.
        machines.push_back(std::make_unique<Machine>("sidecar-em-a-" + std::to_string(number + 1),
                                                     "127.0.2." + std::to_string(100 + number), "quote-desk"));
        folder.owns(machines.back()->name);
        backends.push_back(std::make_unique<Backend>(*machines.back(), record, "i-" + std::to_string(number + 1)));
        proxies.push_back(std::make_unique<ProxyProcess>(*machines.back(), store.address(), record, folder.path()));
        backends.back()->startBeats();
    }
    for (const auto &proxy : proxies)
        proxy->awaitReady();
    record.line("all machines are ready");
    sleepMs(3'000);

    // The disruption: the older machines are lost for good, without SIGTERM.
    std::vector<std::unique_ptr<SilentAddress>> silent;
    if (isTroubleOn()) {
        for (int number = 0; number < lostMachines; ++number) {
            backends[number].reset();
            proxies[number].reset();
            silent.push_back(std::make_unique<SilentAddress>(machines[number]->inbound));
        }
        record.line("the first " + std::to_string(lostMachines) + " machines are lost");
    }
    sleepMs(20'000); // long after contact_ms: the other machines are in touch

    std::atomic<int> late{0};
    std::atomic<int> probes{0};
    std::vector<std::thread> probing;
    for (int version = 2; version < 2 + versions; ++version) {
        store.put("op", "config", configWith(version));
        record.line("operator wrote r" + std::to_string(version));
        for (int number = lostMachines; number < lostMachines + liveMachines; ++number) {
            probing.emplace_back([&, version, number] {
                sleepMs(applyMs + 20);
                const std::string id = "probe-" + std::to_string(version) + "-" + std::to_string(number);
                const long sentAt = record.ms();
                const auto answer = callOnce(
                        machines[number]->outbound,
                        clientRequest("GET", "orders.example", "/n" + std::to_string(version) + "/1", id, 1'000),
                        1'500);
                ++probes;
                if (answer && answer->status() == 404) {
                    ++late;
                    record.line("CONFIG: " + machines[number]->name + " answers 404 on the route of r"
                                + std::to_string(version) + ", sent at " + std::to_string(sentAt));
                }
            });
        }
        sleepMs(gapMs);
    }
    for (std::thread &thread : probing)
        thread.join();
    record.line("probes " + std::to_string(probes) + ", late " + std::to_string(late));
    std::cout << "probes " << probes << ", answered as only an older version allows " << late << std::endl;
    return late > 0 ? exitBroken : exitHeld;
}
