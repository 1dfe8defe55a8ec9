// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "at_most_once_runner.h"

#include <adapters/clock.h>
#include <adapters/random.h>
#include <crosslink/base/error.h>
#include <crosslink/base/invariants.h>
#include <crosslink/claim/claim_slice.h>
#include <crosslink/claim/key_time.h>
#include <crosslink/ports/peer.h>

namespace crosslink
{

namespace
{

/// How far the time in a key may be ahead of this clock, since clients' clocks
/// differ. A key that is further ahead would be remembered for too long.
constexpr UnixMillis max_clock_skew_ms = 300'000;
constexpr Micros retry_delay = std::chrono::seconds(1);

} // namespace

AtMostOnceRunner::AtMostOnceRunner(InstanceState& state,
                                   ClaimHandler& claim_handler)
    : m_state(state), m_claim_handler(claim_handler)
{
}

Claim
AtMostOnceRunner::make_claim(const AtMostOnceCall& call) const
{
    const UnixMillis now = unix_now();
    Claim claim;
    claim.key =
        claim_key(call.account->name, call.service, call.idempotency_key);
    claim.id = random_name();
    claim.holder = m_state.self_address();
    const auto key_time = key_time_of(call.idempotency_key);
    if (!key_time &&
        call.account->policy->undated_keys == UndatedKeyPolicy::Refuse)
        throw Error(ErrorCode::UndatedKey,
                    "an Idempotency-Key must be a UUID of version 7 "
                    "(RFC 9562), so that its age is known");
    claim.key_time = key_time.value_or(now);
    if (claim.key_time > now + max_clock_skew_ms)
        throw Error(ErrorCode::UndatedKey,
                    "the Idempotency-Key is from the future");
    return claim;
}

AtMostOnceRunner::Result
AtMostOnceRunner::run(const AtMostOnceCall& call, const Dispatch& dispatch)
{
    const Claim claim = make_claim(call);
    const TimePoint began = monotonic_now();
    ClaimVerdict verdict;
    try {
        verdict = m_claim_handler.decide(claim);
    } catch (const Error&) {
        ++m_state.metrics.claims_unavailable;
        throw;
    }
    m_state.metrics.claim.add(monotonic_now() - began);
    if (verdict.kind == ClaimVerdict::Kind::Expired) {
        ++m_state.metrics.claims_expired;
        throw Error(ErrorCode::ClaimExpired,
                    "the key is older than the age limit; this request was "
                    "not run, an earlier one may have been",
                    RunState::MayHaveRun);
    }
    if (verdict.kind == ClaimVerdict::Kind::Held) {
        ++m_state.metrics.claims_held;
        return replay(call, claim, verdict.holder);
    }
    check_invariant(Invariant::ClaimBeforeDispatch,
                    verdict.kind == ClaimVerdict::Kind::Granted &&
                        verdict.holder == m_state.self_address());
    ++m_state.metrics.claims_granted;
    m_state.answers.with([&](AnswerCache& answers) {
        answers.begin(claim.key, call.fingerprint);
    });
    try {
        PlainAnswer answer = dispatch();
        m_state.answers.with(
            [&](AnswerCache& answers) { answers.finish(claim.key, answer); });
        return {std::move(answer), false};
    } catch (const Error& failure) {
        m_state.answers.with(
            [&](AnswerCache& answers) { answers.forget(claim.key); });
        if (!is_not_run(failure.run_state()))
            throw Error(ErrorCode::ClaimOutcomeUnknown,
                        std::string("it may have run: ") + failure.what(),
                        RunState::MayHaveRun);
        m_claim_handler.release(claim);
        throw;
    }
}

AtMostOnceRunner::Result
AtMostOnceRunner::replay(const AtMostOnceCall& call, const Claim& claim,
                         const std::string& holder)
{
    HeldAnswer held;
    if (holder == m_state.self_address()) {
        held = m_state.answers.with(
            [&](AnswerCache& answers) { return answers.find(claim.key); });
    } else {
        try {
            held = m_state.clients.peer(holder)->answer_of(claim.key);
        } catch (const Error&) {
            // The holder has stopped or can't be reached, so the outcome of
            // the earlier request is not known.
            held.state = HeldAnswer::State::Unknown;
        }
    }
    if (held.state == HeldAnswer::State::Unknown)
        throw Error(ErrorCode::ClaimOutcomeUnknown,
                    "an earlier request with this key may have run; its "
                    "outcome is not known",
                    RunState::MayHaveRun);
    if (held.fingerprint != call.fingerprint)
        throw Error(ErrorCode::KeyReused,
                    "the Idempotency-Key was used for another call");
    if (held.state == HeldAnswer::State::Running)
        throw Error(ErrorCode::ClaimInProgress,
                    "an earlier request with this key is being run",
                    RunState::MayHaveRun, retry_delay);
    return {std::move(held.answer), true};
}

} // namespace crosslink
