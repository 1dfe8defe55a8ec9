// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// The recent holders of a duty, as reported by the platform. A former holder
/// keeps reporting what it knows for a grace period after its lease ended, so
/// its successor must know about it.
class HolderHistory
{
public:
    /// A former holder.
    struct Ended {
        std::string address;
        TimePoint at{}; ///< When this instance learned of the end.
    };

    /// Records that `address` holds the duty from `now` on; empty: nobody does.
    void set_holder(std::string_view address, TimePoint now);
    /// Records that changes before `now` may be missing.
    void record_gap(TimePoint now);

    /// Merges the history of another instance, which is complete since `from`
    /// and includes all changes that this instance knew of at its last
    /// record_gap(). Ignored unless it is complete for longer.
    void learn(TimePoint from, std::span<const Ended> ended);
    /// Returns the time since when the history is complete.
    TimePoint from() const { return m_from; }
    /// Returns the former holders, for learn().
    std::vector<Ended> ended() const;

    /// Returns the current holder; empty if there is none.
    const std::string& holder() const { return m_holder; }
    /// Returns whether all holders that ended within `grace` before `now` are
    /// known.
    bool is_complete(Micros grace, TimePoint now) const;
    /// Returns the former holders that ended within `grace` before `now`.
    std::vector<std::string> recent(Micros grace, TimePoint now) const;

private:
    std::string m_holder;
    std::map<std::string, TimePoint> m_ended; ///< By address.
    TimePoint m_from{}; ///< Start of the complete history.
};

} // namespace crosslink
