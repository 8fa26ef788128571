#include <dandeliondock/core/error.h>

#include <absl/strings/cord.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <array>

namespace dandeliondock {

namespace {

constexpr absl::string_view kindPayload = "dandeliondock/error-kind";

struct KindEntry
{
    ErrorKind kind;
    absl::StatusCode code;
    absl::string_view name;
    absl::string_view remedy;
};

constexpr std::array kindTable{
        KindEntry{ErrorKind::None, absl::StatusCode::kOk, "none", ""},
        KindEntry{ErrorKind::InvalidSettings, absl::StatusCode::kInvalidArgument, "invalid_settings",
                  "correct the named keys in the settings file"},
        KindEntry{ErrorKind::InvalidTicket, absl::StatusCode::kInvalidArgument, "invalid_ticket",
                  "correct the ticket and file it again"},
        KindEntry{ErrorKind::InvalidMessage, absl::StatusCode::kInvalidArgument, "invalid_message",
                  "check that both processes are of compatible releases"},
        KindEntry{ErrorKind::InvalidRow, absl::StatusCode::kDataLoss, "invalid_row",
                  "restore the named row of the platform's table"},
        KindEntry{ErrorKind::TicketNumberUsed, absl::StatusCode::kAlreadyExists, "ticket_number_used",
                  "file under an unused number"},
        KindEntry{ErrorKind::TicketSuperseded, absl::StatusCode::kFailedPrecondition, "ticket_superseded",
                  "review the later ticket and file again under a higher number"},
        KindEntry{ErrorKind::UnresolvedReference, absl::StatusCode::kFailedPrecondition, "unresolved_reference",
                  "add the missing resource to the ticket or keep it"},
        KindEntry{ErrorKind::HeadContended, absl::StatusCode::kAborted, "head_contended",
                  "file the ticket again; it was not accepted"},
        KindEntry{ErrorKind::StoreUnavailable, absl::StatusCode::kUnavailable, "store_unavailable",
                  "try again when the platform's store answers"},
        KindEntry{ErrorKind::OutcomeUnknown, absl::StatusCode::kUnknown, "outcome_unknown",
                  "ask for the outcome by number before filing anything else"},
        KindEntry{ErrorKind::NotFound, absl::StatusCode::kNotFound, "not_found", "check the name"},
        KindEntry{ErrorKind::RevisionGap, absl::StatusCode::kOutOfRange, "revision_gap",
                  "ask for the missing revisions or a snapshot"},
        KindEntry{ErrorKind::RevisionRefused, absl::StatusCode::kFailedPrecondition, "revision_refused",
                  "ask for a snapshot and report the resource"},
        KindEntry{ErrorKind::WrongDeployment, absl::StatusCode::kPermissionDenied, "wrong_deployment",
                  "correct the deployment name or the address in the sender's settings"},
        KindEntry{ErrorKind::NotAuthorised, absl::StatusCode::kUnauthenticated, "not_authorised",
                  "send the operators' key from the settings"},
        KindEntry{ErrorKind::NotReady, absl::StatusCode::kUnavailable, "not_ready",
                  "send the request to another node or try again"},
        KindEntry{ErrorKind::Overloaded, absl::StatusCode::kResourceExhausted, "overloaded", "try again after a pause"},
        KindEntry{ErrorKind::ConnectionLimit, absl::StatusCode::kResourceExhausted, "connection_limit",
                  "try again after a pause; nothing was sent"},
        KindEntry{ErrorKind::DeadlineExceeded, absl::StatusCode::kDeadlineExceeded, "deadline_exceeded",
                  "allow more time or try again"},
        KindEntry{ErrorKind::NoTarget, absl::StatusCode::kUnavailable, "no_target",
                  "start targets of the service's version"},
        KindEntry{ErrorKind::NotSent, absl::StatusCode::kUnavailable, "not_sent", "try again; nothing was sent"},
        KindEntry{ErrorKind::MayHaveRun, absl::StatusCode::kUnknown, "may_have_run",
                  "check the effect before sending the request again"},
        KindEntry{ErrorKind::BodyTooLarge, absl::StatusCode::kInvalidArgument, "body_too_large",
                  "send a smaller body or raise max_body_bytes"},
        KindEntry{ErrorKind::Truncated, absl::StatusCode::kDataLoss, "truncated",
                  "send the request again if it is idempotent"},
        KindEntry{ErrorKind::RingFull, absl::StatusCode::kResourceExhausted, "ring_full",
                  "try again when the reader has caught up"},
        KindEntry{ErrorKind::Closed, absl::StatusCode::kCancelled, "closed", "use another node; this one is stopping"},
        KindEntry{ErrorKind::LeaseLost, absl::StatusCode::kAborted, "lease_lost",
                  "leave the duty to the lease's present holder"},
        KindEntry{ErrorKind::Interrupted, absl::StatusCode::kCancelled, "interrupted",
                  "send the request again with the latest content"},
        KindEntry{ErrorKind::Internal, absl::StatusCode::kInternal, "internal", "report the error with its log lines"},
};

const KindEntry &entryOf(ErrorKind kind) noexcept
{
    for (const KindEntry &entry : kindTable) {
        if (entry.kind == kind)
            return entry;
    }
    return kindTable.back();
}

} // namespace

absl::string_view errorKindName(ErrorKind kind) noexcept
{
    return entryOf(kind).name;
}

ErrorKind errorKindFromName(absl::string_view name) noexcept
{
    for (const KindEntry &entry : kindTable) {
        if (entry.name == name)
            return entry.kind;
    }
    return ErrorKind::Internal;
}

absl::string_view errorRemedy(ErrorKind kind) noexcept
{
    return entryOf(kind).remedy;
}

absl::Status makeError(ErrorKind kind, absl::string_view detail)
{
    const KindEntry &entry = entryOf(kind);
    absl::Status status(entry.code, absl::StrCat(detail, "; ", entry.remedy));
    status.SetPayload(kindPayload, absl::Cord(entry.name));
    return status;
}

ErrorKind errorKind(const absl::Status &status)
{
    if (status.ok())
        return ErrorKind::None;
    const absl::optional<absl::Cord> payload = status.GetPayload(kindPayload);
    if (!payload)
        return ErrorKind::Internal;
    return errorKindFromName(std::string(*payload));
}

absl::string_view errorDetail(const absl::Status &status)
{
    absl::string_view detail = status.message();
    const absl::string_view remedy = errorRemedy(errorKind(status));
    if (absl::ConsumeSuffix(&detail, remedy))
        absl::ConsumeSuffix(&detail, "; ");
    return detail;
}

} // namespace dandeliondock
