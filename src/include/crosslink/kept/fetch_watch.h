// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <map>
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
    /// Takes note of a call that fetched its largest part from `store` and
    /// had its first event after `took`.
    void first_event(std::string_view store, Micros took, TimePoint now);
    /// Returns whether a call should fetch from `store`. From a slow store
    /// only as many calls fetch as it may answer in time; `random` bits
    /// choose them.
    bool should_fetch(std::string_view store, std::uint64_t random,
                      TimePoint now) const;

private:
    struct Seen {
        double took_ms = 0; ///< Smoothed.
        TimePoint at{};
    };

    std::map<std::string, Seen, std::less<>> m_stores;
};

} // namespace crosslink
