#include "operator_flags.h"

#include <dandeliondock/codec/protobuf_codec.h>
#include <dandeliondock/node/operator_text.h>

int main(int argc, char **argv)
{
    using namespace dandeliondock;
    using namespace dandeliondock::programs;
    constexpr const char *program = "dandeliondock-status";
    parseFlags(argc, argv, "shows the status of a node: dandeliondock-status --node IP:port");
    const absl::StatusOr<OperatorClient> client = operatorClient();
    if (argc != 1 || !client.ok()) {
        std::cerr << program << ": " << (client.ok() ? "no arguments are expected" : client.status().message()) << "\n";
        return exitUsage;
    }
    const absl::StatusOr<wire::NodeStatus> status = client->status();
    if (!status.ok())
        return reportError(program, status.status());
    std::cout << (FLAGS_output == "json" ? printJson(*status) : describeNode(*status));
    return exitSuccess;
}
