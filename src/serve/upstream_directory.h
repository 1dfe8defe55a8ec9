// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/ports/peer.h>
#include <crosslink/ports/platform.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// The stores and plain services of the platform's list, with the failures and
/// backoffs that this instance observed. An upstream that is leaving gets no
/// new work. One that fails is excluded for a time that doubles with each
/// failure in a row, up to a maximum.
class UpstreamDirectory
{
public:
    /// Replaces the upstreams by those of a list that was read at `read_at`.
    void sync(std::span<const ListedInstance> listed, TimePoint read_at);
    /// Records that the current list was still valid at `read_at`.
    void confirm(TimePoint read_at);
    /// Returns the current list with its digest and its age at `now`.
    UpstreamList list(TimePoint now) const;
    /// Returns the stores to use for blocks whose first key is `key`, the
    /// preferred one first. The order is the same at every instance of every
    /// zone, since a prompt may return to any of them.
    std::vector<std::string> stores_for(std::string_view key,
                                        TimePoint now) const;
    /// Returns the instances of a plain service that take work, those of
    /// `zone` first. Within and outside of the zone, the order is rotated by
    /// `random`.
    std::vector<std::string> plain_for(std::string_view service,
                                       std::string_view zone,
                                       std::uint64_t random,
                                       TimePoint now) const;
    /// Excludes an upstream after a failed call.
    void failed(std::string_view address, TimePoint now);
    /// Ends the exclusion of an upstream. A backoff that it asked for remains.
    void succeeded(std::string_view address);
    /// Records that an upstream asks this instance to send nothing before
    /// `until`. A later time that it asked for earlier remains.
    void backs_off(std::string_view address, TimePoint until);
    /// Returns the earliest time at which an instance of a plain service takes
    /// work again, by the exclusions and backoffs known here; nothing where all
    /// listed instances are leaving, or none is listed.
    std::optional<TimePoint> plain_free_at(std::string_view service) const;

    const std::vector<ListedInstance>& listed() const { return m_listed; }

private:
    struct FailureState {
        std::uint32_t failures = 0;
        TimePoint excluded_until{};
        TimePoint backoff_until{};

        TimePoint available_at() const
        {
            return std::max(excluded_until, backoff_until);
        }
    };

    bool usable(const ListedInstance& instance, TimePoint now) const;

    std::vector<ListedInstance> m_listed; ///< Ordered by address.
    Digest m_digest;
    TimePoint m_read_at{};
    std::map<std::string, FailureState, std::less<>> m_failure_states;
};

} // namespace crosslink
