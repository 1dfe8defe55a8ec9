// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/forwarded_call.h>
#include <crosslink/kept/kept_part.h>

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace crosslink
{

/// Finds out which stores are slow at the moment, from how much later than
/// expected the first events of calls come that fetch from them. What delays
/// all calls, such as runners with too much to do, counts for no store.
class FetchWatch
{
public:
    /// Takes note of a call that fetches its largest part from `store`, and
    /// whose first event should come at `expected`.
    void sent(std::string_view store, TimePoint expected);
    /// Takes note that the first event of such a call came at `now`.
    void first_event(std::string_view store, TimePoint expected, TimePoint now);
    /// Takes note that such a call ended without an event.
    void ended(std::string_view store, TimePoint expected);
    /// Returns whether a call should fetch a part of `tokens` from `store`.
    /// From a slow store only as many calls fetch as it may answer in time;
    /// `random` bits choose them. Large parts are worth a longer wait, and
    /// calls with a long `objective`, to their first event, can bear one.
    bool should_fetch(std::string_view store, std::uint32_t tokens,
                      Micros objective, std::uint64_t random,
                      TimePoint now) const;

    /// Returns the stores from which large parts come late.
    std::set<std::string, std::less<>> slow_stores(TimePoint now) const;
    /// Lets those of `places`, one for each of `parts` of a prompt, be read
    /// that lie in a slow store. A part is of use only with all parts before
    /// it: the first one that is read takes the later ones with it, and is
    /// worth waiting for as much as all of them.
    void pass_over_slow(std::span<const PromptPart> parts,
                        std::span<KeptPlace> places, Micros objective,
                        std::uint64_t random, TimePoint now) const;

private:
    struct Seen {
        bool known = false;
        double late_ms = 0; ///< Smoothed; below 0 where events come early.
        TimePoint at{};     ///< Of the newest sample.
        std::multiset<TimePoint> open; ///< Expected times of open calls.
    };

    /// Returns by how much, in milliseconds, events come later from `store`
    /// than from the best other one; 0 where that is not known.
    double later_ms(std::string_view store, TimePoint now) const;
    static bool is_known(const Seen& seen, TimePoint now);
    static double late_ms(const Seen& seen, TimePoint now);

    std::map<std::string, Seen, std::less<>> m_stores;
};

} // namespace crosslink
