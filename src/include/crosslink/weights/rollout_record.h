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

/// Number of versions in a record, the newest ones. Calls may still run on
/// versions that were replaced within the bound: five, where a new version is
/// named every 2 s and the earlier one must be replaced within 10 s.
constexpr std::size_t recorded_versions = 8;

/// The record on the platform of the versions of one model that were named as
/// the newest: the versions, and which of them have a mark. A mark expires by
/// itself when calls may no longer be sent to the weights that the version
/// replaced, even where no instance is running then.
class RolloutRecord
{
public:
    /// Sets the versions that are recorded now.
    void recorded(std::span<const std::uint64_t> versions);
    /// Records that the mark of a version was set or has expired.
    void marked(std::uint64_t version, bool is_set);

    /// Adds the recorded versions to `history`. A version without a mark counts
    /// as named no later than `limit` before `now`.
    void apply_to(WeightsHistory& history, Micros limit, TimePoint now) const;
    /// Returns the versions of `history` that are still to be recorded.
    std::vector<std::uint64_t> missing(const WeightsHistory& history) const;

private:
    std::set<std::uint64_t> m_recorded;
    std::set<std::uint64_t> m_marked;
};

/// Returns the versions to be recorded, in ascending order: `versions` and
/// `added`, without the oldest ones where there are too many.
std::vector<std::uint64_t> with_version(std::span<const std::uint64_t> versions,
                                        std::uint64_t added);

} // namespace crosslink
