// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <algorithm>

namespace crosslink
{

/// Bounds retries to a share of the first tries, so that retries can't make
/// an overload worse. Each first try earns a part of a retry.
class RetryBudget
{
public:
    /// Takes note of a first try.
    void first_try() { m_units = std::min(m_units + earned, most); }
    /// Returns whether a retry may be made, and takes it from the budget.
    bool take_retry()
    {
        if (m_units < 1)
            return false;
        m_units -= 1;
        return true;
    }

private:
    static constexpr double earned = 0.2; ///< Retries per first try.
    static constexpr double most = 20;    ///< Retries that can be saved up.

    double m_units = most / 2;
};

} // namespace crosslink
