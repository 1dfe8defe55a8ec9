// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace crosslink
{

/// Which instances to ask for a place of their share of a runner's capacity.
/// Answers the load of an instance that gets more calls than its own shares
/// cover, while others leave theirs unused. When all shares are used up, every
/// question is in vain; each refusal tells when there may be a place, and the
/// instance is not asked for it before.
class ShareLoans
{
public:
    /// Least and greatest time for which an instance is not asked again for the
    /// same runner. The greatest bounds what a wrong answer costs.
    static constexpr Micros min_pause = std::chrono::milliseconds(20);
    static constexpr Micros max_pause = std::chrono::seconds(1);
    /// Largest number of refusals that are remembered.
    static constexpr std::size_t max_refusals = 4096;

    /// Returns from when on `holder` may have a place at `runner`; a time long
    /// past if no refusal is remembered.
    TimePoint ask_at(std::string_view holder, std::string_view runner) const;
    /// Records that `holder` has no place at `runner` for `pause` from `now`
    /// on.
    void refused(std::string_view holder, std::string_view runner, Micros pause,
                 TimePoint now);
    std::size_t size() const { return m_refusals.size(); }

private:
    /// The names of the holder and the runner.
    using Key = std::pair<std::string, std::string>;

    std::map<Key, TimePoint> m_refusals; ///< With the end of each pause.
};

} // namespace crosslink
