// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/hedge_policy.h>

#include <algorithm>
#include <array>

namespace crosslink
{

namespace
{

/// The copy must be expected to begin within this part of the time that the
/// first send has already taken. Estimates of waits are off by up to twice.
constexpr int shorter_divisor = 2;
/// A call is late after this multiple of the usual time. Answers of healthy
/// runners seldom take as long; copies of all that are beyond the quantile
/// would use up the limit before the calls at a stalled runner are late.
constexpr int late_factor = 2;

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(HedgeDenial::Count_)>
    denial_names{"kind",
                 "resumes",
                 "suspected",
                 "indirect",
                 "attempts",
                 "few_observations",
                 "runner_holds_back",
                 "no_runner",
                 "short_of_capacity",
                 "wait_not_shorter",
                 "over_limit"};

} // namespace

std::string_view
hedge_denial_name(HedgeDenial denial)
{
    return denial_names.at(static_cast<std::size_t>(denial));
}

std::optional<HedgeDenial>
HedgePolicy::denial(const HedgeCall& call) const
{
    if (!call.kind || !m_rules.kinds.contains(*call.kind))
        return HedgeDenial::Kind;
    if (call.resumes)
        return HedgeDenial::Resumes;
    if (call.suspected)
        return HedgeDenial::Suspected;
    if (call.indirect)
        return HedgeDenial::Indirect;
    if (call.copied || call.sends >= call.most_attempts)
        return HedgeDenial::Attempts;
    if (call.runner_limited || call.runner_backs_off)
        return HedgeDenial::RunnerHoldsBack;
    if (!call.usual)
        return HedgeDenial::FewObservations;
    return std::nullopt;
}

Micros
HedgePolicy::delay(const HedgeCall& call)
{
    if (!call.usual)
        return Micros::max();
    return std::max(*call.usual * late_factor, call.expected);
}

std::optional<HedgeDenial>
HedgePolicy::denial(const HedgeCall& call, const HedgeRunner& runner,
                    Micros waited)
{
    if (runner.holds_back)
        return HedgeDenial::RunnerHoldsBack;
    if (runner.relayed)
        return HedgeDenial::Indirect;
    if (runner.calls >= runner.slots)
        return HedgeDenial::ShortOfCapacity;
    if (runner.expected > std::max(waited, call.expected) / shorter_divisor)
        return HedgeDenial::WaitNotShorter;
    return std::nullopt;
}

} // namespace crosslink
