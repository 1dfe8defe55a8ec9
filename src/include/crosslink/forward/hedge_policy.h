// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>

namespace crosslink
{

/// Kinds of calls that may be hedged: sent to a second runner while the first
/// one has not begun to answer.
enum class HedgeKind {
    PlainCall, ///< A call of a route of kind `safe`.
    Stream,    ///< A resumable stream from its first event on.
};

/// Why a call is not hedged.
enum class HedgeDenial {
    Kind,            ///< It may run only once, or its kind is not allowed.
    Resumes,         ///< Its caller has events of the stream.
    Suspected,       ///< Its request may have ended runners.
    Indirect,        ///< It goes through another instance.
    Attempts,        ///< It was sent to as many runners as it may be.
    FewObservations, ///< The usual times of such calls are not known.
    RunnerHoldsBack, ///< A runner states a limit or asks for a backoff.
    NoRunner,        ///< No other runner accepts it.
    ShortOfCapacity, ///< The other runner has no free slot.
    WaitNotShorter,  ///< The other runner may take as long.
    OverLimit,       ///< The limit or the retry budget is used up.
    Count_
};

/// Returns the name of `denial` in logs and metrics.
std::string_view hedge_denial_name(HedgeDenial denial);

/// What may be hedged at all.
struct HedgeRules {
    std::set<HedgeKind> kinds{HedgeKind::PlainCall, HedgeKind::Stream};
};

/// A call that has been sent to a runner and got no answer yet.
struct HedgeCall {
    std::optional<HedgeKind> kind; ///< Nothing for calls that run only once.
    bool resumes = false;          ///< Its caller has events of the stream.
    bool suspected = false;        ///< Its request may have ended runners.
    bool copied = false;           ///< It was hedged before.
    bool indirect = false;         ///< It is relayed, or on a borrowed share.
    bool runner_limited = false;   ///< Its runner states a limit.
    bool runner_backs_off = false; ///< Its runner asked for a backoff.
    std::uint32_t sends = 1;       ///< So far.
    std::uint32_t most_attempts = 1;
    /// High quantile of the times in which similar calls began to be answered;
    /// see HedgePolicy::quantile.
    std::optional<Micros> usual;
    /// Expected from the send to the beginning of the answer.
    Micros expected{0};
};

/// The runner that a copy would be sent to.
struct HedgeRunner {
    bool holds_back = false; ///< It states a limit or asks for a backoff.
    bool relayed = false;    ///< Only other instances reach it.
    std::uint32_t calls = 0; ///< In flight there, as far as known.
    std::uint32_t slots = 0;
    /// Expected from the send to the beginning of the answer.
    Micros expected{0};
};

/// Decides when a call is sent to a second runner, and whether at all. Answers
/// the load of a few runners that answer late without this instance knowing:
/// the copy costs the capacity of one more call, so it is sent only where free
/// capacity is known.
class HedgePolicy
{
public:
    /// Part of the answers that begin within the usual time. A tenth of the
    /// runners may be slow without moving it to their times.
    static constexpr double quantile = 0.9;

    explicit HedgePolicy(HedgeRules rules) : m_rules(std::move(rules)) {}

    /// Returns why `call` is not hedged, whichever runner would get the copy;
    /// nothing if it may be.
    std::optional<HedgeDenial> denial(const HedgeCall& call) const;
    /// Returns how long after its send a call is hedged that denial() lets
    /// through: a multiple of the usual time. A time that the length of the
    /// prompt or of the queue explains is no reason for a copy.
    static Micros delay(const HedgeCall& call);
    /// Returns why the copy of a call that has waited `waited` is not sent to
    /// `runner`; nothing if it may be.
    static std::optional<HedgeDenial>
    denial(const HedgeCall& call, const HedgeRunner& runner, Micros waited);

private:
    const HedgeRules m_rules;
};

} // namespace crosslink
