// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <algorithm>

namespace crosslink
{

/// Limits retries to a fraction of the first attempts, so that retries can't
/// make an overload worse. Each first attempt adds a fraction of a retry to the
/// budget.
class RetryBudget
{
public:
    /// Records a first attempt.
    void first_try()
    {
        m_retries = std::min(m_retries + retries_per_attempt, max_retries);
    }
    /// Returns whether a retry is allowed, and takes it from the budget.
    bool take_retry()
    {
        if (m_retries < 1)
            return false;
        m_retries -= 1;
        return true;
    }

private:
    /// Retries that each first attempt adds.
    static constexpr double retries_per_attempt = 0.2;
    /// Retries that can be saved up.
    static constexpr double max_retries = 20;

    double m_retries = max_retries / 2;
};

} // namespace crosslink
