// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/membership/platform_availability.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace crosslink
{

/// Weights that were named, and when.
struct NamedWeights {
    std::uint64_t version = 0;
    TimePoint at{};
    /// True where `at` is but the time at which this instance found it named.
    bool is_found = false;
    /// True where the record of rollouts tells that calls may not be sent to
    /// older weights any more.
    bool is_lapsed = false;
};

/// The versions of one model that were named, and the time in which a version
/// must have given way to newer ones.
class WeightsHistory
{
public:
    /// Takes note of weights named at `now`. Older ones are passed over.
    void named(std::uint64_t version, TimePoint now);
    /// Takes note that another instance heard of `version` at `at`. It counts
    /// where this one heard of it later, or only of newer ones; a version newer
    /// than all that are known here does not.
    void named_earlier(std::uint64_t version, TimePoint at);
    /// Takes note that `version` was found to be named already at `now`. It
    /// counts as named then, until more is known.
    void found(std::uint64_t version, TimePoint now);
    /// Takes note that the record of rollouts holds `version` as over, so that
    /// it was named no later than `at`. Counts for one that was found only: who
    /// heard of it in time knows more than the record, whose leases may run
    /// out while the platform is away and orders can't be given.
    void lapsed(std::uint64_t version, TimePoint at);
    /// Returns all versions that were named, in rising order.
    const std::vector<NamedWeights>& all() const { return m_named; }
    /// Returns the newest version; 0 where none was named.
    std::uint64_t newest() const;
    /// Returns when the first version above `version` was named; nothing
    /// where none was.
    std::optional<TimePoint> replaced_at(std::uint64_t version) const;
    /// Returns what is left of `bound` since `version`, one of them, was named,
    /// counted as for minimum_version().
    Micros left(std::uint64_t version, Micros bound, TimePoint now,
                const PlatformAvailability& reach) const;
    /// Returns the least version that a call may begin on, where one must
    /// have given way `bound` after a newer one was named, without the time in
    /// which the platform was away, and where the record of rollouts tells so.
    std::uint64_t minimum_version(Micros bound, TimePoint now,
                                  const PlatformAvailability& reach) const;

private:
    /// Returns the place of `version`, or of the first one after it.
    std::vector<NamedWeights>::iterator place_of(std::uint64_t version);

    std::vector<NamedWeights> m_named; ///< In rising order.
};

} // namespace crosslink
