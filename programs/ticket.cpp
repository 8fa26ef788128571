#include "operator_flags.h"

#include <dandeliondock/codec/protobuf_codec.h>
#include <dandeliondock/codec/ticket_codec.h>
#include <dandeliondock/node/operator_text.h>
#include <dandeliondock/tickets/acceptance.h>

#include <absl/strings/numbers.h>

#include <chrono>
#include <thread>

DEFINE_string(until, "in_force", "state that the command wait waits for: in_force or completed");
DEFINE_uint32(wait_ms, 600'000, "timeout of the command wait in milliseconds");
DEFINE_uint64(from, 1, "first ticket number that the command list shows");
DEFINE_uint32(limit, 100, "maximum number of tickets that the command list shows");

namespace {

using namespace dandeliondock;
using namespace dandeliondock::programs;

constexpr const char *program = "dandeliondock-ticket";
constexpr const char *usage = "files change tickets and shows their status:\n"
                              "  dandeliondock-ticket file FILE\n"
                              "  dandeliondock-ticket check FILE\n"
                              "  dandeliondock-ticket show NUMBER\n"
                              "  dandeliondock-ticket list [--from NUMBER] [--limit COUNT]\n"
                              "  dandeliondock-ticket wait NUMBER [--until in_force|completed] [--wait_ms TIME]";
constexpr Milliseconds pollInterval{500};

int usageError(absl::string_view detail)
{
    std::cerr << program << ": " << detail << "\n" << usage << "\n";
    return exitUsage;
}

void print(const google::protobuf::Message &message, const std::string &text)
{
    std::cout << (FLAGS_output == "json" ? printJson(message) : text);
}

int fileTicket(const OperatorClient &client, const std::string &json)
{
    const absl::StatusOr<wire::TicketFiled> filed = client.file(json);
    if (!filed.ok())
        return reportError(program, filed.status());
    print(*filed, absl::StrCat("ticket ", filed->number(), filed->repeated() ? " was accepted before" : " is accepted",
                               " as revision ", filed->revision(), "\n"));
    return exitSuccess;
}

int checkTicket(const std::string &json)
{
    const absl::StatusOr<Ticket> ticket = parseTicket(json);
    const absl::Status status = ticket.ok() ? validateTicket(*ticket) : ticket.status();
    if (!status.ok())
        return reportError(program, status);
    wire::TicketFiled result;
    result.set_number(ticket->number.value());
    std::string text = absl::StrCat("ticket ", ticket->number.value(), " is well formed; it touches\n");
    for (const ResourceKey &key : affectedKeys(*ticket))
        absl::StrAppend(&text, "  ", describe(key), "\n");
    absl::StrAppend(&text, "references to resources outside the ticket are checked when it is filed\n");
    print(result, text);
    return exitSuccess;
}

int showTicket(const OperatorClient &client, TicketNumber number)
{
    const absl::StatusOr<wire::TicketStatus> status = client.show(number);
    if (!status.ok())
        return reportError(program, status.status());
    print(*status, describeTicket(*status));
    return exitSuccess;
}

int listTickets(const OperatorClient &client)
{
    const absl::StatusOr<wire::TicketList> list = client.list(TicketNumber(FLAGS_from), FLAGS_limit);
    if (!list.ok())
        return reportError(program, list.status());
    print(*list, describeTickets(*list));
    return exitSuccess;
}

bool isReached(const wire::TicketStatus &status)
{
    return FLAGS_until == "completed" ? isCompleted(status) : isInForce(status);
}

// A node or store that does not respond may recover before the timeout.
bool isRetryable(ErrorKind kind)
{
    return kind != ErrorKind::NotFound && kind != ErrorKind::NotAuthorised && kind != ErrorKind::InvalidMessage;
}

int waitForTicket(const OperatorClient &client, TicketNumber number)
{
    const auto end = std::chrono::steady_clock::now() + Milliseconds(FLAGS_wait_ms);
    while (true) {
        const absl::StatusOr<wire::TicketStatus> status = client.show(number);
        if (!status.ok() && !isRetryable(errorKind(status.status())))
            return reportError(program, status.status());
        const bool isRolledBack = status.ok() && status->state() == wire::TicketStatus::STATE_ROLLED_BACK;
        const bool isTimedOut = std::chrono::steady_clock::now() + pollInterval > end;
        if (status.ok() && (isRolledBack || isTimedOut || isReached(*status)))
            print(*status, describeTicket(*status));
        if (isRolledBack)
            return exitRolledBack;
        if (status.ok() && isReached(*status))
            return exitSuccess;
        if (isTimedOut) {
            std::cerr << program << ": timed out; "
                      << (status.ok() ? "the ticket has not reached the requested state" : status.status().message())
                      << "\n";
            return exitTimedOut;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

int runWithFile(const std::string &command, const std::string &path)
{
    const absl::StatusOr<std::string> json = readFile(path);
    if (!json.ok())
        return usageError(json.status().message());
    if (command == "check")
        return checkTicket(*json);
    const absl::StatusOr<OperatorClient> client = operatorClient();
    return client.ok() ? fileTicket(*client, *json) : usageError(client.status().message());
}

int runWithNumber(const std::string &command, const std::string &text)
{
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(text, &number) || number == 0)
        return usageError("the ticket's number must be greater than 0");
    const absl::StatusOr<OperatorClient> client = operatorClient();
    if (!client.ok())
        return usageError(client.status().message());
    if (command == "show")
        return showTicket(*client, TicketNumber(number));
    return waitForTicket(*client, TicketNumber(number));
}

int runList()
{
    const absl::StatusOr<OperatorClient> client = operatorClient();
    return client.ok() ? listTickets(*client) : usageError(client.status().message());
}

} // namespace

int main(int argc, char **argv)
{
    parseFlags(argc, argv, usage);
    const std::string command = argc > 1 ? argv[1] : "";
    if (FLAGS_until != "in_force" && FLAGS_until != "completed")
        return usageError("--until must be in_force or completed");
    if ((command == "file" || command == "check") && argc == 3)
        return runWithFile(command, argv[2]);
    if ((command == "show" || command == "wait") && argc == 3)
        return runWithNumber(command, argv[2]);
    if (command == "list" && argc == 2)
        return runList();
    return usageError("unknown command");
}
