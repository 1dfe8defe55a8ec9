// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/membership/instance_info.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace crosslink
{

/// The instances of the fleet as they count where something is divided among
/// them without a word from one to the other. One that came counts at once, but
/// takes its own share only after the settling time; one that left counts for
/// as long. So two instances that hear of a change up to that time apart do not
/// take the same share both.
class SettledMembers
{
public:
    /// `settle`: how far apart two instances may hear of the same change, and
    /// the time over which a share is counted.
    explicit SettledMembers(Micros settle) : m_settle(settle) {}

    /// Takes note that an instance is listed.
    void listed(const InstanceInfo& instance, TimePoint now);
    /// Takes note that an instance is no longer listed.
    void gone(std::string_view name, TimePoint now);
    /// Takes note that only `names` are listed.
    void keep_only(const std::set<std::string>& names, TimePoint now);

    /// Returns how many instances count in `zone`; in all zones, where it has
    /// none.
    std::size_t count(std::string_view zone, TimePoint now) const;
    /// Returns whether `name` is one of the `most` instances of `zone` that
    /// come first for `key`, and takes its share. Where the zone has no
    /// instance, those of all zones count.
    bool has_share(std::string_view name, std::string_view key,
                   std::string_view zone, std::size_t most,
                   TimePoint now) const;

private:
    struct Member {
        std::string zone;
        TimePoint since{};
        std::optional<TimePoint> gone_at;
    };

    /// While something holds that was worked out of the members: from one time
    /// until the next of them settles.
    struct Validity {
        TimePoint from{};
        TimePoint until{};

        bool holds(TimePoint now) const { return from <= now && now < until; }
    };
    /// How many instances count in a zone.
    struct Count {
        std::size_t members = 0;
        Validity valid;
    };
    /// Where an instance stands among those that share a key.
    struct Standing {
        std::string name;
        std::string zone;
        std::size_t before = 0; ///< That come first; all, where it has none.
        Validity valid;
    };

    const Standing& standing(std::string_view name, std::string_view key,
                             std::string_view zone, TimePoint now) const;
    Standing work_out(std::string_view name, std::string_view key,
                      std::string_view zone, TimePoint now) const;
    std::size_t work_out_count(std::string_view zone, TimePoint now) const;
    Validity validity(TimePoint now) const;
    void changed();
    void expire(TimePoint now);
    bool counts(const Member& member, TimePoint now) const;
    bool has_any(std::string_view zone, TimePoint now) const;

    Micros m_settle;
    std::map<std::string, Member, std::less<>> m_members; ///< By name.
    // Worked out before: that takes a look at all members, and a hash for each,
    // and is asked for by each call and runner. Gone with each change.
    mutable std::map<std::string, Count, std::less<>> m_counts; ///< By zone.
    /// By key.
    mutable std::map<std::string, Standing, std::less<>> m_standings;
};

} // namespace crosslink
