// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/error.h>

#include <array>
#include <cstddef>

namespace crosslink
{

namespace
{

constexpr std::array table{
    ErrorInfo{ErrorCode::BadJson, "bad_json", 400},
    ErrorInfo{ErrorCode::BadRequest, "bad_request", 400},
    ErrorInfo{ErrorCode::RequestTimeout, "request_timeout", 408},
    ErrorInfo{ErrorCode::BodyTooLarge, "body_too_large", 413},
    ErrorInfo{ErrorCode::HeadersTooLarge, "headers_too_large", 431},
    ErrorInfo{ErrorCode::MissingKey, "missing_key", 401},
    ErrorInfo{ErrorCode::UnknownKey, "unknown_key", 401},
    ErrorInfo{ErrorCode::UnknownModel, "unknown_model", 404},
    ErrorInfo{ErrorCode::UnknownPath, "unknown_path", 404},
    ErrorInfo{ErrorCode::RateLimited, "rate_limited", 429},
    ErrorInfo{ErrorCode::ConcurrencyLimited, "concurrency_limited", 429},
    ErrorInfo{ErrorCode::QueueFull, "queue_full", 503},
    ErrorInfo{ErrorCode::DeadlineUnreachable, "deadline_unreachable", 503},
    ErrorInfo{ErrorCode::NoUpstream, "no_upstream", 503},
    ErrorInfo{ErrorCode::UpstreamsLimited, "upstreams_limited", 503},
    ErrorInfo{ErrorCode::UpstreamRefused, "upstream_refused", 503},
    ErrorInfo{ErrorCode::UpstreamFailed, "upstream_failed", 502},
    ErrorInfo{ErrorCode::UpstreamTimeout, "upstream_timeout", 504},
    ErrorInfo{ErrorCode::AnswerTooLarge, "answer_too_large", 502},
    ErrorInfo{ErrorCode::RequestEndsUpstreams, "request_ends_upstreams", 502},
    ErrorInfo{ErrorCode::StreamBroken, "stream_broken", 502},
    ErrorInfo{ErrorCode::StreamNotResumable, "stream_not_resumable", 503},
    ErrorInfo{ErrorCode::WrongWeights, "wrong_weights", 503},
    ErrorInfo{ErrorCode::ClaimUnavailable, "claim_unavailable", 503},
    ErrorInfo{ErrorCode::ClaimInProgress, "claim_in_progress", 409},
    ErrorInfo{ErrorCode::ClaimOutcomeUnknown, "claim_outcome_unknown", 409},
    ErrorInfo{ErrorCode::ClaimExpired, "claim_expired", 409},
    ErrorInfo{ErrorCode::UndatedKey, "undated_key", 400},
    ErrorInfo{ErrorCode::KeyReused, "key_reused", 422},
    ErrorInfo{ErrorCode::NotReady, "not_ready", 503},
    ErrorInfo{ErrorCode::PlatformUnavailable, "platform_unavailable", 503},
    ErrorInfo{ErrorCode::PlatformOutcomeUnknown, "platform_outcome_unknown",
              503},
    ErrorInfo{ErrorCode::PlatformThrottled, "platform_throttled", 503},
    ErrorInfo{ErrorCode::RevisionConflict, "revision_conflict", 409},
    ErrorInfo{ErrorCode::TemplateInvalid, "template_invalid", 400},
    ErrorInfo{ErrorCode::PeerUnavailable, "peer_unavailable", 503},
    ErrorInfo{ErrorCode::PeerRefused, "peer_refused", 403},
    ErrorInfo{ErrorCode::StoreUnavailable, "store_unavailable", 503},
    ErrorInfo{ErrorCode::StoreFull, "store_full", 507},
    ErrorInfo{ErrorCode::BlockGone, "block_gone", 410},
    ErrorInfo{ErrorCode::LeaseLost, "lease_lost", 409},
    ErrorInfo{ErrorCode::SettingsInvalid, "settings_invalid", 400},
    ErrorInfo{ErrorCode::Internal, "internal", 500},
};

static_assert(table.size() == static_cast<std::size_t>(ErrorCode::Internal) + 1,
              "every error code has a row");

const ErrorInfo&
info_of(ErrorCode code)
{
    return table.at(static_cast<std::size_t>(code));
}

} // namespace

std::string_view
run_state_name(RunState state)
{
    switch (state) {
    case RunState::NotDispatched:
        return "not_dispatched";
    case RunState::RefusedBeforeRun:
        return "refused_before_run";
    case RunState::MayHaveRun:
        break;
    }
    return "may_have_run";
}

std::span<const ErrorInfo>
error_table()
{
    return table;
}

std::string_view
error_name(ErrorCode code)
{
    return info_of(code).name;
}

int
error_status(ErrorCode code)
{
    return info_of(code).http_status;
}

Error::Error(ErrorCode code, const std::string& detail, RunState run_state,
             std::optional<Micros> retry_after)
    : std::runtime_error(detail), m_code(code), m_run_state(run_state),
      m_retry_after(retry_after)
{
}

Error
Error::with_run_state(RunState state) const
{
    return Error(m_code, what(), state, m_retry_after);
}

} // namespace crosslink
