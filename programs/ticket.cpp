#include <dandeliondock/codec/bytes.h>
#include <dandeliondock/http/client.h>
#include <dandeliondock/settings/node_settings.h>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(node, "127.0.0.1:9003", "IP:port of a node's operators' listener");
DEFINE_string(key_file, "", "path of a file with the operators' key");
DEFINE_uint32(timeout_ms, 5'000, "time limit of one request in milliseconds");

namespace {

constexpr int exitDone = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

int fileTicket(const std::string &path)
{
    using namespace dandeliondock;
    const absl::StatusOr<std::string> ticket = readFile(path);
    const absl::StatusOr<std::string> key = readFile(FLAGS_key_file);
    if (!ticket.ok() || !key.ok()) {
        std::cerr << "dandeliondock-ticket: " << (ticket.ok() ? key : ticket).status().message() << "\n";
        return exitUsage;
    }
    HttpClient client;
    HttpRequest request;
    request.method = "POST";
    request.target = "/tickets";
    request.headers.add("X-Operator-Key", key->substr(0, key->find_last_not_of("\r\n") + 1));
    request.body = *ticket;
    SendOptions options;
    options.timeout = Milliseconds(FLAGS_timeout_ms);
    const SendResult result = client.send(Address(FLAGS_node), request, options);
    if (!result.response.ok()) {
        std::cerr << "dandeliondock-ticket: " << result.response.status().message() << "\n";
        return exitFailed;
    }
    std::cout << result.response->body << "\n";
    return result.response->status == 200 ? exitDone : exitFailed;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("files change tickets: dandeliondock-ticket file TICKET.json");
    gflags::SetVersionString(DANDELIONDOCK_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 3 || std::string(argv[1]) != "file") {
        std::cerr << "dandeliondock-ticket: usage: dandeliondock-ticket file TICKET.json\n";
        return exitUsage;
    }
    return fileTicket(argv[2]);
}
