// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/membership/instance_info.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// The instances of the fleet among which something is divided without
/// communication between them. An instance that joins counts at once, but takes
/// its own share only after the settling time; one that left still counts for
/// that time. So two instances that learn of a change up to that time apart
/// never both take the same share.
class SettledMembers
{
public:
    /// `settle` is the largest difference between the times at which two
    /// instances learn of the same change, plus the period over which use of a
    /// share is counted.
    explicit SettledMembers(Micros settle) : m_settle(settle) {}

    /// Records that an instance is listed.
    void listed(const InstanceInfo& instance, TimePoint now);
    /// Records that an instance is no longer listed.
    void gone(std::string_view name, TimePoint now);
    /// Records that no instances but `names` are listed.
    void keep_only(const std::set<std::string>& names, TimePoint now);

    /// Returns the number of instances that count in `zone`; in all zones where
    /// `zone` has none.
    std::size_t count(std::string_view zone, TimePoint now) const;
    /// Returns whether `name` is among the first `max_instances` instances of
    /// `zone` in the order for `key`, and may take its share. Where the zone
    /// has no instance, those of all zones count.
    bool has_share(std::string_view name, std::string_view key,
                   std::string_view zone, std::size_t max_instances,
                   TimePoint now) const;

    /// Returns the instances for which has_share() holds.
    const std::vector<std::string>& holders(std::string_view key,
                                            std::string_view zone,
                                            std::size_t max_instances,
                                            TimePoint now) const;

    /// Returns how many members the changes of the list have looked at: a
    /// measure of their cost.
    std::uint64_t members_visited() const { return m_visited; }

private:
    struct Member {
        std::string zone;
        TimePoint since{};
        std::optional<TimePoint> gone_at;
    };

    /// The period in which a result computed from the members is valid: from
    /// one time until the next of them settles.
    struct Validity {
        TimePoint from{};
        TimePoint until{};

        bool holds(TimePoint now) const { return from <= now && now < until; }
    };
    /// The number of instances that count in a zone.
    struct Count {
        std::size_t members = 0;
        Validity valid;
    };
    /// The rank of an instance among those that share a key.
    struct Rank {
        std::string name;
        std::string zone;
        /// Number of instances ahead of it; the maximum where it has no share.
        std::size_t ahead = 0;
        Validity valid;
    };

    /// The instances that share a key.
    struct Holders {
        std::string zone;
        std::size_t max_instances = 0;
        std::vector<std::string> names;
        Validity valid;
    };

    const Rank& rank(std::string_view name, std::string_view key,
                     std::string_view zone, TimePoint now) const;
    Rank compute_rank(std::string_view name, std::string_view key,
                      std::string_view zone, TimePoint now) const;
    std::vector<std::string> compute_holders(std::string_view key,
                                             std::string_view zone,
                                             std::size_t max_instances,
                                             TimePoint now) const;
    bool is_settled(const Member& member, TimePoint now) const;
    std::size_t compute_count(std::string_view zone, TimePoint now) const;
    Validity validity(TimePoint now) const;
    void invalidate();
    void expire(TimePoint now);
    bool counts(const Member& member, TimePoint now) const;
    bool has_any(std::string_view zone, TimePoint now) const;

    Micros m_settle;
    std::map<std::string, Member, std::less<>> m_members; ///< By name.
    /// Names of the members that left. Looking for them among all members with
    /// each listing would cost the square of the fleet at a start.
    std::set<std::string, std::less<>> m_gone;
    TimePoint m_expire_at = TimePoint::max(); ///< When the first of them ends.
    std::uint64_t m_visited = 0;              ///< See members_visited().
    // Cached results. To compute one takes a pass over all members with a hash
    // for each, and each call asks for one for each runner. Cleared with each
    // change.
    mutable std::map<std::string, Count, std::less<>> m_counts; ///< By zone.
    /// By key.
    mutable std::map<std::string, Rank, std::less<>> m_ranks;
    /// By key.
    mutable std::map<std::string, Holders, std::less<>> m_holders;
};

} // namespace crosslink
