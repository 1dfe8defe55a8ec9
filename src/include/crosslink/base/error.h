// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/run_state.h>
#include <crosslink/base/time.h>

#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace crosslink
{

/// The error codes of crosslink. `docs/OPERATIONS.md` says for each one what it
/// means and what to do.
enum class ErrorCode {
    BadJson,
    BadRequest,
    RequestTimeout,
    BodyTooLarge,
    HeadersTooLarge,
    MissingKey,
    UnknownKey,
    UnknownModel,
    UnknownPath,
    RateLimited,
    ConcurrencyLimited,
    QueueFull,
    DeadlineUnreachable,
    NoUpstream,
    UpstreamsLimited,
    UpstreamRefused,
    UpstreamFailed,
    UpstreamTimeout,
    AnswerTooLarge,
    RequestEndsUpstreams,
    StreamBroken,
    StreamNotResumable,
    WrongWeights,
    ClaimUnavailable,
    ClaimInProgress,
    ClaimOutcomeUnknown,
    ClaimExpired,
    UndatedKey,
    KeyReused,
    NotReady,
    PlatformUnavailable,
    PlatformOutcomeUnknown,
    PlatformThrottled,
    RevisionConflict,
    TemplateInvalid,
    PeerUnavailable,
    PeerRefused,
    StoreUnavailable,
    StoreFull,
    BlockGone,
    LeaseLost,
    SettingsInvalid,
    Internal,
};

/// The fixed properties of one error code.
struct ErrorInfo {
    ErrorCode code;
    std::string_view name; ///< The name on the wire and in logs.
    int http_status;       ///< The status of the answer to a caller.
};

/// Returns the table of all error codes, in the order of the enumeration.
std::span<const ErrorInfo> error_table();
/// Returns the wire name of `code`.
std::string_view error_name(ErrorCode code);
/// Returns the HTTP status of `code`.
int error_status(ErrorCode code);

/// The one exception type of crosslink. It carries what a caller must know: the
/// error code, whether the request ran, and when to retry.
class Error : public std::runtime_error
{
public:
    /// `detail` is a text for people, and never contains a key or a prompt.
    Error(ErrorCode code, const std::string& detail,
          RunState run_state = RunState::NotDispatched,
          std::optional<Micros> retry_after = std::nullopt);

    ErrorCode code() const { return m_code; }
    RunState run_state() const { return m_run_state; }
    /// Time until a retry makes sense; empty where none does.
    std::optional<Micros> retry_after() const { return m_retry_after; }
    /// Returns a copy with another run state.
    Error with_run_state(RunState state) const;

private:
    ErrorCode m_code;
    RunState m_run_state;
    std::optional<Micros> m_retry_after;
};

} // namespace crosslink
