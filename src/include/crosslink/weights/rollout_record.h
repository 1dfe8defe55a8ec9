// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/weights/weights_history.h>

#include <cstdint>
#include <set>
#include <span>
#include <vector>

namespace crosslink
{

/// Versions that a record keeps, the newest ones. Calls may still run on those
/// that were replaced within the bound: five, where new ones are named every 2
/// s and must have given way after 10 s.
constexpr std::size_t recorded_versions = 8;

/// What the platform keeps of the versions of one model that were named: the
/// versions, and which of them are marked. A mark goes by itself when calls may
/// not be sent to the replaced weights any more, also where no instance lives
/// to see that.
class RolloutRecord
{
public:
    /// Takes over the versions that are recorded now.
    void recorded(std::span<const std::uint64_t> versions);
    /// Takes note that the mark of a version was set, or went.
    void marked(std::uint64_t version, bool is_set);

    /// Lets `history` count a version without a mark as named no later than
    /// `limit` before `now`.
    void apply_to(WeightsHistory& history, Micros limit, TimePoint now) const;
    /// Returns the versions of `history` that are to be recorded.
    std::vector<std::uint64_t> missing(const WeightsHistory& history) const;

private:
    std::set<std::uint64_t> m_recorded;
    std::set<std::uint64_t> m_marked;
};

/// Returns the `versions` to be recorded, in rising order, where `added` is
/// too. The oldest ones give way.
std::vector<std::uint64_t> with_version(std::span<const std::uint64_t> versions,
                                        std::uint64_t added);

} // namespace crosslink
