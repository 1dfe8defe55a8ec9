// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/runner_place.h>

#include <array>
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
/// Paths fail together: two runners of a service, of a zone or of any stand for
/// their group, so that calls need not find out path by path.
class RunnerPaths
{
public:
    /// Two runners that others reach show that the paths to their group may be
    /// down, unless another of it answered on a connection made in between.
    static constexpr std::size_t min_cut_runners = 2;
    /// They show it within this time of each other.
    static constexpr Micros cut_window = std::chrono::seconds(3);
    /// Maximum number of runners whose cut paths are remembered.
    static constexpr std::size_t max_cut_runners = 256;
    /// Pause after a probe that failed.
    static constexpr Micros probe_pause = std::chrono::milliseconds(250);

    /// A runner is probed where nothing was heard for this time of its service,
    /// or of the runners of its service in its zone.
    static constexpr Micros service_silence = std::chrono::milliseconds(250);
    static constexpr Micros zone_silence = std::chrono::seconds(1);
    /// What another instance says of a runner that it does not reach holds for
    /// this time.
    static constexpr Micros down_time = std::chrono::seconds(1);

    /// How calls to a runner are to be sent.
    struct Path {
        bool relayed = false; ///< Through another instance.
        /// A connection is usable only if it carried an answer after this.
        TimePoint proven_since{};
    };

    /// What to probe.
    struct Probe {
        std::string runner;   ///< Empty for any runner of `group`.
        RunnerGroup group;    ///< See `runner`.
        bool suspect = false; ///< The runner does not count as cut yet.
    };

    /// Returns how to send a call to the runner at `place`.
    Path path_to(const RunnerPlace& place) const;
    /// Returns whether all runners are presumed out of reach although no
    /// failure at each of them is known.
    bool all_cut() const { return cut_since({}).has_value(); }
    /// Returns whether all runners of `service` are presumed out of reach.
    bool service_cut(const std::string& service) const
    {
        return cut_since({service, {}}).has_value();
    }
    /// Returns whether some runner is known to be out of reach of this instance
    /// alone: its failure to reach another one then says little about that one.
    bool any_cut() const { return !m_cut.empty(); }
    /// Returns the runners that only other instances reach, and since when
    /// that is known.
    std::map<std::string, TimePoint, std::less<>> cut_runners() const;
    /// Returns for how long all runners are presumed out of reach at `now`; 0
    /// if they are not.
    Micros all_cut_for(TimePoint now) const;

    /// Records that another instance reaches the runner at `place`, which this
    /// one does not reach. Returns whether that is new.
    bool cut(const RunnerPlace& place, TimePoint now);
    /// Records that the runner at `place` answered on a connection that was
    /// made at `opened_at`. Returns whether it counted as cut before.
    bool answered(const RunnerPlace& place, TimePoint opened_at);
    /// Records that bytes of the runner at `place` arrived on a direct
    /// connection.
    void heard(const RunnerPlace& place, TimePoint now);

    /// Records that another instance does not reach `runner` either.
    void down(std::string_view runner, TimePoint now);
    /// Returns whether that was recorded lately.
    bool is_down(std::string_view runner, TimePoint now) const;

    /// Asks for a probe of the runner at `place`, from which nothing comes.
    /// Does nothing while runners of its service and zone are heard; see
    /// service_silence. Returns whether a probe is due.
    bool suspect(const RunnerPlace& place, TimePoint now);
    /// Returns what to probe: a runner that is suspected, or one whose path is
    /// cut, or a group that is presumed cut. Nothing if none is due.
    std::optional<Probe> take_probe(TimePoint now);
    /// Records that a probe failed.
    void probe_failed(TimePoint now) { m_next_probe = now + probe_pause; }
    /// Returns when the next probe is due; nothing if none will be.
    std::optional<TimePoint> next_probe() const;
    /// Forgets a runner that is no longer listed.
    void forget(std::string_view runner);

private:
    /// A runner that only others reach.
    struct CutPath {
        TimePoint since{};
        std::string service;
        std::string zone;

        RunnerPlace place(std::string_view runner) const
        {
            return {runner, service, zone};
        }
    };

    /// What is known of the paths to a group of runners.
    struct GroupPath {
        std::optional<TimePoint> cut_since; ///< Presumed.
        /// When the latest connection was made that carried an answer.
        std::optional<TimePoint> proven_at;
        std::optional<TimePoint> heard_at;
    };

    static std::array<RunnerGroup, 4> groups_of(const RunnerPlace& place);
    std::optional<TimePoint> cut_since(const RunnerGroup& group) const;
    bool shows_cut(const RunnerGroup& group, const GroupPath& path,
                   TimePoint now) const;
    void drop_empty_groups();
    static std::array<RunnerGroup, 2> heard_groups(const RunnerPlace& place);
    bool heard_since(const RunnerGroup& group, TimePoint since) const;
    bool has_cut_runner(const RunnerGroup& group) const;
    std::optional<RunnerGroup> next_cut_group();
    std::string next_cut_runner();

    std::map<std::string, CutPath, std::less<>> m_cut; ///< By id.
    std::map<RunnerGroup, GroupPath> m_groups;
    std::set<std::string, std::less<>> m_suspects;
    /// Until when each runner counts as down, by id.
    std::map<std::string, TimePoint, std::less<>> m_down;
    TimePoint m_next_probe{};
    std::string m_last_probe;    ///< Cut runners are probed in turn.
    RunnerGroup m_last_group;    ///< Groups as well.
    bool m_probes_group = false; ///< The last probe was of a group.
};

} // namespace crosslink
