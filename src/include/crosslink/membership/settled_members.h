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

    void expire(TimePoint now);
    bool counts(const Member& member, TimePoint now) const;
    bool has_any(std::string_view zone, TimePoint now) const;

    Micros m_settle;
    std::map<std::string, Member, std::less<>> m_members; ///< By name.
};

} // namespace crosslink
