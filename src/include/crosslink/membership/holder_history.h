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

/// Who held a duty lately, as the platform told it. A holder goes on telling
/// what it knows for a grace time after its lease ended, so that the next one
/// has to know of it.
class HolderHistory
{
public:
    /// A holder whose duty ended.
    struct Ended {
        std::string address;
        TimePoint at{}; ///< When that was heard of.
    };

    /// Takes note that `address` is the holder from `now` on; empty for nobody.
    void set_holder(std::string_view address, TimePoint now);
    /// Takes note that changes before `now` may have been missed.
    void record_gap(TimePoint now);

    /// Takes over what another instance saw, which missed nothing since `from`
    /// and has heard of all that this one had heard of at its last
    /// record_gap().
    void learn(TimePoint from, std::span<const Ended> ended);
    /// Returns since when nothing is missed.
    TimePoint from() const { return m_from; }
    /// Returns the holders whose duty ended, for learn().
    std::vector<Ended> ended() const;

    /// Returns the holder that was named last; empty for nobody.
    const std::string& holder() const { return m_holder; }
    /// True where no holder is missed that ended within `grace` before `now`.
    bool is_complete(Micros grace, TimePoint now) const;
    /// Returns the earlier holders that ended within `grace` before `now`.
    std::vector<std::string> recent(Micros grace, TimePoint now) const;

private:
    std::string m_holder;
    std::map<std::string, TimePoint> m_ended; ///< By address.
    TimePoint m_from{};                       ///< Nothing is missed since.
};

} // namespace crosslink
