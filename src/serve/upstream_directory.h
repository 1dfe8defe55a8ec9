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

/// The stores and plain services of the platform's list, with what this
/// instance learned of them: leaving ones get no new work, and one that fails
/// is kept out for a time that doubles.
class UpstreamDirectory
{
public:
    /// Takes over the upstreams of a list that was read at `read_at`.
    void sync(std::span<const ListedInstance> listed, TimePoint read_at);
    /// Takes note that the list in place was still right at `read_at`.
    void confirm(TimePoint read_at);
    /// Returns the list in place.
    UpstreamList list(TimePoint now) const;
    /// Returns the stores to use for blocks whose first key is `key`, the
    /// preferred one first. The order is the same at every instance of every
    /// zone, since a prompt may return to any of them.
    std::vector<std::string> stores_for(std::string_view key,
                                        TimePoint now) const;
    /// Returns the instances of a plain service that take work, those of
    /// `zone` first, in an order turned by `random`.
    std::vector<std::string> plain_for(std::string_view service,
                                       std::string_view zone,
                                       std::uint64_t random,
                                       TimePoint now) const;
    void failed(std::string_view address, TimePoint now);
    void succeeded(std::string_view address);
    /// Takes note that an upstream wants nothing from this instance before
    /// `until`. What it asked for earlier stands.
    void backs_off(std::string_view address, TimePoint until);
    /// Returns when an instance of a plain service takes work again, as far as
    /// is known; nothing where none is listed that stays.
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
