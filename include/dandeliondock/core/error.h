#pragma once

#include <absl/status/status.h>
#include <absl/strings/string_view.h>

namespace dandeliondock {

/// \brief What went wrong; each kind has one remedy, which is part of the message.
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

/// \brief Name of a kind in snake case, as logs and counters carry it. Thread-safe.
[[nodiscard]] absl::string_view errorKindName(ErrorKind kind) noexcept;

/// \brief The kind of a name that errorKindName() gave; Internal for any other text. Thread-safe.
[[nodiscard]] ErrorKind errorKindNamed(absl::string_view name) noexcept;

/// \brief What the reader of an error of this kind should do. Thread-safe.
[[nodiscard]] absl::string_view errorRemedy(ErrorKind kind) noexcept;

/// \brief A status that carries its kind and whose message is "detail; remedy". Thread-safe.
/// \pre \c kind is not ErrorKind::None.
[[nodiscard]] absl::Status makeError(ErrorKind kind, absl::string_view detail);

/// \brief The kind of a status; None for an OK status, Internal for a status made elsewhere. Thread-safe.
[[nodiscard]] ErrorKind errorKind(const absl::Status &status);

/// \brief The message of a status without its kind's remedy, for use within another error's detail. The view lives as
/// long as \c status. Thread-safe.
[[nodiscard]] absl::string_view errorDetail(const absl::Status &status);

} // namespace dandeliondock
