// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/holding_time.h>

namespace crosslink
{

namespace
{

/// Estimate before the first calls ended: the time for a few hundred tokens of
/// output at 5 to 10 ms each, which is right within a factor of two for current
/// engines.
constexpr double prior_seconds = 2;
/// Weight of this estimate, in tokens of calls.
constexpr double prior_tokens = 20'000;
/// Time constant, in tokens, with which older samples decay. An instance sends
/// some 20,000 tokens a second, so that it forgets in some ten seconds.
constexpr double decay_tokens = 200'000;

} // namespace

void
HoldingTime::add(std::uint64_t resident, Micros span)
{
    const auto tokens = static_cast<double>(resident);
    const double kept = decay_tokens / (decay_tokens + tokens);
    m_tokens = m_tokens * kept + tokens;
    m_token_seconds = m_token_seconds * kept + tokens * seconds(span);
}

Micros
HoldingTime::mean() const
{
    return from_seconds((m_token_seconds + prior_seconds * prior_tokens) /
                        (m_tokens + prior_tokens));
}

} // namespace crosslink
