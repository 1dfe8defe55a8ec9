// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace crosslink
{

/// Which runners this instance reaches over its own network path. A runner
/// that this instance fails to reach may be down, or the path to it may be;
/// another instance that reaches the runner tells the two apart. This
/// knowledge concerns the instance alone and says nothing about the runners.
class RunnerPaths
{
public:
    /// Two runners that others reach show that the path to all may be down,
    /// unless a connection was made in between.
    static constexpr std::size_t min_cut_runners = 2;
    /// They show it within this time of each other.
    static constexpr Micros cut_window = std::chrono::seconds(3);
    /// Maximum number of runners whose cut paths are remembered.
    static constexpr std::size_t max_cut_runners = 256;
    /// Pause after a probe that failed.
    static constexpr Micros probe_pause = std::chrono::milliseconds(250);

    /// What another instance says of a runner that it does not reach holds for
    /// this time.
    static constexpr Micros down_time = std::chrono::seconds(1);

    /// How calls to a runner are to be sent.
    struct Path {
        bool relayed = false; ///< Through another instance.
        /// A connection is usable only if it carried an answer after this.
        TimePoint proven_since{};
    };

    /// Returns how to send a call to `runner`.
    Path path_to(std::string_view runner) const;
    /// Returns whether runners are presumed out of reach although no failure
    /// at each of them is known.
    bool all_cut() const { return m_all_cut_since.has_value(); }
    /// Returns whether some runner is known to be out of reach of this instance
    /// alone: its failure to reach another one then says little about that one.
    bool any_cut() const { return !m_cut.empty(); }
    /// Returns the runners that only other instances reach, and since when
    /// that is known.
    const std::map<std::string, TimePoint, std::less<>>& cut_runners() const
    {
        return m_cut;
    }
    /// Returns for how long all runners are presumed out of reach at `now`; 0
    /// if they are not.
    Micros all_cut_for(TimePoint now) const;

    /// Records that another instance reaches `runner`, which this one does not
    /// reach. Returns whether that is new.
    bool cut(std::string_view runner, TimePoint now);
    /// Records that a new connection to `runner` was made. Returns whether it
    /// counted as cut.
    bool connected(std::string_view runner, TimePoint now);
    /// Records that bytes of `runner` arrived on a direct connection.
    void heard(TimePoint now) { m_heard_at = now; }

    /// Records that another instance does not reach `runner` either.
    void down(std::string_view runner, TimePoint now);
    /// Returns whether that was recorded lately.
    bool is_down(std::string_view runner, TimePoint now) const;

    /// Asks for a probe of `runner`, from which nothing comes. Does nothing
    /// while runners are heard. Returns whether a probe is due.
    bool suspect(std::string_view runner, TimePoint now);
    /// Returns a runner to probe: one that is suspected, or whose path is cut.
    /// An empty name stands for any runner without a known failure. Nothing if
    /// none is due.
    std::optional<std::string> take_probe(TimePoint now);
    /// Records that a probe failed.
    void probe_failed(TimePoint now) { m_next_probe = now + probe_pause; }
    /// Returns when the next probe is due; nothing if none will be.
    std::optional<TimePoint> next_probe() const;
    /// Forgets a runner that is no longer listed.
    void forget(std::string_view runner);

private:
    /// Since when each runner counts as cut, by id.
    std::map<std::string, TimePoint, std::less<>> m_cut;
    std::set<std::string, std::less<>> m_suspects;
    /// Until when each runner counts as down, by id.
    std::map<std::string, TimePoint, std::less<>> m_down;
    std::optional<TimePoint> m_all_cut_since;
    std::optional<TimePoint> m_connected_at; ///< Latest new connection.
    std::optional<TimePoint> m_heard_at;
    TimePoint m_next_probe{};
    std::string m_last_probe; ///< Cut runners are probed in turn.
    bool m_probe_any = false; ///< The next probe is of any runner.
};

} // namespace crosslink
