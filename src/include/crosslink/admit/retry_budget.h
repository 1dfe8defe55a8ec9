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
    void first_try() { m_units = std::min(m_units + earned, most); }
    /// Returns whether a retry is allowed, and takes it from the budget.
    bool take_retry()
    {
        if (m_units < 1)
            return false;
        m_units -= 1;
        return true;
    }

private:
    static constexpr double earned = 0.2; ///< Retries per first attempt.
    static constexpr double most = 20;    ///< Retries that can be saved up.

    double m_units = most / 2;
};

} // namespace crosslink
