// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>

namespace crosslink
{

/// Estimates how long calls of a service hold their KV memory. The estimate is
/// learned from calls that ended, because runners differ and busy ones generate
/// more slowly.
class HoldingTime
{
public:
    /// Adds a call that held `resident` tokens for `span`.
    void add(std::uint64_t resident, Micros span);
    /// Returns the mean of the recent calls, weighted by their tokens.
    Micros mean() const;

private:
    /// Sums in which older samples decay.
    double m_tokens = 0;
    double m_token_seconds = 0;
};

} // namespace crosslink
