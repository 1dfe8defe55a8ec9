// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/forwarded_call.h>
#include <crosslink/kept/kept_part.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// A store of KV parts and the zone of the runners that fetch from it. Delays
/// are tracked for each zone, since a zone that is cut off makes a store slow
/// for that zone alone.
struct FetchPath {
    std::string store; ///< Address; empty for calls that fetch nothing.
    std::string zone;

    /// Returns the path of calls that prefill all their parts in `zone`. Their
    /// delay is that of the runners alone.
    static FetchPath without_store(std::string_view zone)
    {
        return {{}, std::string(zone)};
    }
    bool has_store() const { return !store.empty(); }
    auto operator<=>(const FetchPath&) const = default;
};

/// What a call gains by fetching a part, and how late it may be.
struct FetchGain {
    std::uint32_t tokens = 0; ///< Of the part and those after it.
    /// In which the runner would prefill them; 0 if that is not known.
    Micros prefill{0};
    Micros objective{0}; ///< Target time of the call's first event.
};

/// Mean delay of calls that fetched by one path, as observed by one or more
/// instances since they last reported it.
struct FetchSamples {
    FetchPath path;
    std::uint32_t calls = 0;
    double late_ms = 0; ///< Negative where events came early.
};

/// Delay of calls that fetch by one path, over the whole fleet.
struct FetchDelay {
    FetchPath path;
    double late_ms = 0;
    Micros age{0}; ///< Of the newest sample.
};

/// Detects the stores that are slow at the moment, from the delay of the first
/// events of calls that fetch from them, relative to the expected time. A delay
/// that affects all calls, such as that of overloaded runners, is attributed to
/// no store.
///
/// A store is compared to the good ones of the same zone. Where there are many,
/// its fetches are also compared to the prefill that they save: at peak load,
/// the links of all stores may be busy at the same time, and none of them is
/// slower than the others.
class FetchDelayTracker
{
public:
    /// Records a call that fetches its largest part by `path` and whose first
    /// event is expected at `expected`.
    void sent(const FetchPath& path, TimePoint expected);
    /// Records that the first event of such a call came at `now`.
    void first_event(const FetchPath& path, TimePoint expected, TimePoint now);
    /// Records that such a call ended without an event.
    void ended(const FetchPath& path, TimePoint expected);
    /// Adds samples of other instances, as if they were observed here.
    void add_remote_samples(const FetchSamples& samples, TimePoint now);
    /// Returns the samples, own ones and those of other instances, that were
    /// added since the last call.
    std::vector<FetchSamples> take_unreported();
    /// Returns the delays of a good path of each zone and of the paths that are
    /// much slower.
    std::vector<FetchDelay> delays(TimePoint now) const;
    /// Sets the delay of calls over the whole fleet, as of `now`. A single
    /// instance has few samples: one instance of 71 observes a store once in
    /// three seconds, and all of them together 12 times a second.
    void set_fleet_delay(const FetchDelay& fleet, TimePoint now);

    /// Returns whether a call should fetch a part by `path`. A slow store gets
    /// only as many fetches as it can be expected to answer in time; `random`
    /// bits select the calls. A larger part justifies a longer delay, and a
    /// call with a longer objective tolerates one.
    bool should_fetch(const FetchPath& path, const FetchGain& gain,
                      std::uint64_t random, TimePoint now) const;

    /// Returns the stores that are much slower than the best one of a zone.
    std::set<std::string, std::less<>> slow_stores(TimePoint now) const;
    /// Changes those of `places`, one for each of `parts` of a prompt, that are
    /// fetches from a slow store, so that the parts are computed instead. A
    /// part is of use only together with all parts before it: once one part is
    /// computed, all later ones are, so that the decision on a part counts the
    /// tokens of all parts from it on. The parts are fetched by a runner of
    /// `zone`; `gain` is that of all parts.
    void skip_slow_stores(std::span<const PromptPart> parts,
                          std::span<KeptPlace> places, std::string_view zone,
                          FetchGain gain, std::uint64_t random,
                          TimePoint now) const;

private:
    struct PathStats {
        bool known = false;
        double late_ms = 0; ///< Smoothed; negative where events come early.
        TimePoint at{};     ///< Time of the newest sample.
        FetchSamples unreported;
        double fleet_late_ms = 0;
        std::optional<TimePoint> fleet_at;
        /// Expected times of calls without an event.
        std::multiset<TimePoint> pending;
    };

    /// Delay of the good stores of a zone.
    struct Reference {
        std::optional<double> late_ms; ///< Nothing if it is not known.
        bool is_of_fleet = false;      ///< By the samples of all instances.
    };

    Reference reference(const FetchPath& path, TimePoint now) const;
    /// Returns by how many milliseconds events come later by `path` than from
    /// the good other stores to that zone; 0 where that is not known.
    double excess_ms(const FetchPath& path, TimePoint now) const;
    std::size_t store_count(std::string_view zone) const;
    std::optional<double> delay_ms(const FetchPath& path, TimePoint now) const;
    double fraction_by_stores(const FetchPath& path, const FetchGain& gain,
                              TimePoint now) const;
    double fraction_by_prefill(const FetchPath& path, const FetchGain& gain,
                               TimePoint now) const;
    std::vector<FetchDelay> known_delays(TimePoint now) const;
    void add_samples(PathStats& stats, std::uint32_t calls, double late_ms,
                     TimePoint now);
    static bool is_known(const PathStats& stats, TimePoint now);
    static bool uses_fleet_delay(const PathStats& stats, TimePoint now);
    static double late_ms(const PathStats& stats, TimePoint now);
    static double pending_ms(const PathStats& stats, TimePoint now);

    std::map<FetchPath, PathStats> m_paths;
};

} // namespace crosslink
