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

/// A version of the weights of a model that was named as the newest, and when.
struct NamedWeights {
    std::uint64_t version = 0;
    TimePoint at{};
    /// True where `at` is only the time at which this instance found the
    /// version already named.
    bool is_found = false;
    /// True where calls may no longer be sent to older weights according to the
    /// record of rollouts.
    bool is_lapsed = false;
    /// True where nobody that runs now tells when the version was named: it was
    /// before this instance started.
    bool is_undated = false;
};

/// The versions of one model that were named as the newest, with the times that
/// decide until when older versions may be used.
class WeightsHistory
{
public:
    /// Adds a version named at `now`. A version that is not newer than all
    /// others is ignored.
    void named(std::uint64_t version, TimePoint now);
    /// Records that another instance learned of `version` at `at`. This applies
    /// where this instance learned of it later, or only knows newer ones; a
    /// version newer than all known ones is ignored.
    void named_earlier(std::uint64_t version, TimePoint at);
    /// Records that `version` was already named when this instance found it at
    /// `now`. It counts as named at that time until an earlier one is known.
    void found(std::uint64_t version, TimePoint now);
    /// As found(), for what an instance finds as it starts: the version may
    /// have been named at any time before, while no instance ran. Older weights
    /// count as out of time until another instance, or the record of rollouts,
    /// tells more.
    void found_at_start(std::uint64_t version, TimePoint now);
    /// As found(), for a version that the record of rollouts has.
    void found_recorded(std::uint64_t version, TimePoint now);
    /// Records that the mark of `version` in the record of rollouts has
    /// expired, so that the version was named no later than `at`. This applies
    /// only to a version added by found(): an instance that learned of it in
    /// time knows better than the record, whose leases may expire while the
    /// platform is unreachable and orders can't be given.
    void lapsed(std::uint64_t version, TimePoint at);
    /// Returns all versions that were named, in ascending order.
    const std::vector<NamedWeights>& all() const { return m_versions; }
    /// Returns the newest version; 0 where none was named.
    std::uint64_t newest() const;
    /// Returns when the first version above `version` was named; nothing
    /// where none was.
    std::optional<TimePoint> replaced_at(std::uint64_t version) const;
    /// Returns the time that remains of `bound` since `version`, one of them,
    /// was named, counted as for minimum_version().
    Micros left(std::uint64_t version, Micros bound, TimePoint now,
                const PlatformAvailability& reach) const;
    /// Returns the oldest version on which a call may start. Versions older
    /// than a named one are excluded once `bound` has passed since it was
    /// named, not counting the time in which the platform was unreachable, or
    /// once its mark in the record of rollouts has expired.
    std::uint64_t minimum_version(Micros bound, TimePoint now,
                                  const PlatformAvailability& reach) const;

private:
    /// Returns the position of `version`, or of the first version after it.
    std::vector<NamedWeights>::iterator position_of(std::uint64_t version);

    std::vector<NamedWeights> m_versions; ///< In ascending order.
};

} // namespace crosslink
