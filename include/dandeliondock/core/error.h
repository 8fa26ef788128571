#pragma once

#include <absl/status/status.h>
#include <absl/strings/string_view.h>

namespace dandeliondock {

/// \brief Kind of an error; each kind has one remedy text, which is part of the error's message.
enum class ErrorKind {
    None,
    InvalidSettings,
    InvalidTicket,
    InvalidMessage,
    InvalidRow,
    TicketNumberUsed,
    TicketSuperseded,
    UnresolvedReference,
    HeadContended,
    StoreUnavailable,
    OutcomeUnknown,
    NotFound,
    RevisionGap,
    RevisionRefused,
    WrongDeployment,
    NotAuthorised,
    NotReady,
    Overloaded,
    ConnectionLimit,
    DeadlineExceeded,
    NoTarget,
    NotSent,
    MayHaveRun,
    BodyTooLarge,
    Truncated,
    RingFull,
    Closed,
    LeaseLost,
    Interrupted,
    Internal,
};

/// \brief Returns the name of a kind in snake case, as used in logs and metrics. Thread-safe.
[[nodiscard]] absl::string_view errorKindName(ErrorKind kind) noexcept;

/// \brief Returns the kind for a name that errorKindName() returns; Internal for any other text. Thread-safe.
[[nodiscard]] ErrorKind errorKindFromName(absl::string_view name) noexcept;

/// \brief Returns what a user should do about an error of this kind. Thread-safe.
[[nodiscard]] absl::string_view errorRemedy(ErrorKind kind) noexcept;

/// \brief Creates a status that carries the kind and has the message "detail; remedy". Thread-safe.
/// \pre \c kind is not ErrorKind::None.
[[nodiscard]] absl::Status makeError(ErrorKind kind, absl::string_view detail);

/// \brief Returns the kind of a status: None for an OK status, Internal for a status that makeError() did not create.
/// Thread-safe.
[[nodiscard]] ErrorKind errorKind(const absl::Status &status);

/// \brief Returns the message of a status without the remedy, for use in the detail of another error. The view is valid
/// as long as \c status. Thread-safe.
[[nodiscard]] absl::string_view errorDetail(const absl::Status &status);

} // namespace dandeliondock
