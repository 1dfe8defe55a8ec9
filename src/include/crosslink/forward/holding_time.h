// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>

namespace crosslink
{

/// How long calls of a service keep the KV memory that they take, learned from
/// those that ended: runners differ, and busy ones generate more slowly.
class HoldingTime
{
public:
    /// Takes note of a call that took `resident` tokens for `span`.
    void add(std::uint64_t resident, Micros span);
    /// Returns the mean for a token, of the latest calls.
    Micros mean() const;

private:
    /// Sums whose older samples fade.
    double m_tokens = 0;
    double m_token_seconds = 0;
};

} // namespace crosslink
