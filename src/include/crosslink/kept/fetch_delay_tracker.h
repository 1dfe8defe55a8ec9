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

/// A store of kept parts, with the zone of the runners that fetch from it: a
/// zone that is cut off makes it late for one zone alone.
struct FetchPath {
    std::string store; ///< Address.
    std::string zone;

    auto operator<=>(const FetchPath&) const = default;
};

/// How late calls that fetched were, in the mean, as one or more instances saw
/// it since they told it last.
struct FetchSamples {
    FetchPath path;
    std::uint32_t calls = 0;
    double late_ms = 0; ///< Below 0 where events came early.
};

/// How late calls that fetch are, as the fleet sees it.
struct FetchDelay {
    FetchPath path;
    double late_ms = 0;
    Micros age{0}; ///< Since the newest sample.
};

/// Finds out which stores are slow at the moment, from how much later than
/// expected the first events of calls come that fetch from them. What delays
/// all calls, such as runners with too much to do, counts for no store.
class FetchDelayTracker
{
public:
    /// Takes note of a call that fetches its largest part by `way`, and whose
    /// first event should come at `expected`.
    void sent(const FetchPath& path, TimePoint expected);
    /// Takes note that the first event of such a call came at `now`.
    void first_event(const FetchPath& path, TimePoint expected, TimePoint now);
    /// Takes note that such a call ended without an event.
    void ended(const FetchPath& path, TimePoint expected);
    /// Takes in what other instances saw, as if this one had seen it.
    void add_remote_samples(const FetchSamples& samples, TimePoint now);
    /// Returns what was seen, here and by those others, since the last time.
    std::vector<FetchSamples> take_unreported();
    /// Returns how late calls are, for the best way of each zone and those that
    /// are much later.
    std::vector<FetchDelay> delays(TimePoint now) const;
    /// Takes in how late calls are, as the fleet sees it at `now`. One instance
    /// of 71 sees a store once in three seconds, and all together 12 times in
    /// one.
    void set_fleet_delay(const FetchDelay& fleet, TimePoint now);

    /// Returns whether a call should fetch a part of `tokens` by `way`.
    /// From a slow store only as many calls fetch as it may answer in time;
    /// `random` bits choose them. Large parts are worth a longer wait, and
    /// calls with a long `objective`, to their first event, can bear one.
    bool should_fetch(const FetchPath& path, std::uint32_t tokens,
                      Micros objective, std::uint64_t random,
                      TimePoint now) const;

    /// Returns the stores from which large parts come late.
    std::set<std::string, std::less<>> slow_stores(TimePoint now) const;
    /// Lets those of `places`, one for each of `parts` of a prompt, be read
    /// that lie in a slow store. A part is of use only with all parts before
    /// it: the first one that is read takes the later ones with it, and is
    /// worth waiting for as much as all of them.
    /// The parts are fetched by a runner of `zone`.
    void skip_slow_stores(std::span<const PromptPart> parts,
                          std::span<KeptPlace> places, std::string_view zone,
                          Micros objective, std::uint64_t random,
                          TimePoint now) const;

private:
    struct Seen {
        bool known = false;
        double late_ms = 0; ///< Smoothed; below 0 where events come early.
        TimePoint at{};     ///< Of the newest sample.
        FetchSamples untold;
        double told_late_ms = 0;
        std::optional<TimePoint> told_at;
        std::multiset<TimePoint> open; ///< Expected times of open calls.
    };

    /// Returns by how much, in milliseconds, events come later by `way` than
    /// from the best other store to that zone; 0 where that is not known.
    double later_ms(const FetchPath& path, TimePoint now) const;
    std::vector<FetchDelay> known_lateness(TimePoint now) const;
    void add_samples(Seen& seen, std::uint32_t calls, double late_ms,
                     TimePoint now);
    static bool is_known(const Seen& seen, TimePoint now);
    static bool is_told(const Seen& seen, TimePoint now);
    static double late_ms(const Seen& seen, TimePoint now);

    std::map<FetchPath, Seen> m_paths;
};

} // namespace crosslink
