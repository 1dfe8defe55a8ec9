// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace crosslink
{

/// Which stores answer fetches slowly, as the first events of calls show. A
/// store is compared with the others at the same time: where all are slow,
/// it is the runners that are busy, and reading would make it worse.
class FetchWatch
{
public:
    /// Takes note of a call, sent at `now`, that fetches its largest part from
    /// `store`.
    void sent(std::string_view store, TimePoint now);
    /// Takes note that the first event of a call sent at `sent` came.
    void first_event(std::string_view store, TimePoint sent, TimePoint now);
    /// Takes note that a call sent at `sent` ended without an event.
    void ended(std::string_view store, TimePoint sent);
    /// Returns whether a call should fetch from `store`. From a slow store
    /// only as many calls fetch as it may answer in time; `random` bits
    /// choose them.
    bool should_fetch(std::string_view store, std::uint64_t random,
                      TimePoint now) const;

private:
    struct Seen {
        double took_ms = 0; ///< Smoothed; 0 before the first sample.
        TimePoint at{};
        std::multiset<TimePoint> open; ///< Calls without an event yet.
    };

    static bool is_known(const Seen& seen, TimePoint now);
    static double took_ms(const Seen& seen, TimePoint now);

    std::map<std::string, Seen, std::less<>> m_stores;
};

} // namespace crosslink
