// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/advertised_limit.h>

#include <cstdint>
#include <string>

namespace crosslink
{

/// What one process of a runner said of itself in its answers. It holds for
/// that process, whatever its entry of the platform's list says or whether it
/// has one: entries are renewed by rote, lapse, and can't be read or written
/// while the platform is away. The next process under the same id starts
/// without any.
struct RunnerNotices {
    bool leaving = false; ///< It will end: nothing new is sent to it.
    /// It wants nothing from this instance before.
    TimePoint backoff_until{};
    AdvertisedLimit limit; ///< What it takes from all instances together.
    TimePoint heard_at{};  ///< When it last said any of it.

    /// Returns whether it has said nothing that is of use later.
    bool empty() const
    {
        return !leaving && backoff_until == TimePoint{} && limit.change() == 0;
    }
};

/// A process of which an instance tells another that it leaves, by its own
/// word.
struct LeavingUpdate {
    std::string runner;
    std::uint64_t start_ms = 0; ///< Its incarnation.
};

/// Returns when the `backoff` is over that a runner asked for at `now`: not
/// sooner, and at most an eighth of it, or a second, later, by `random` bits. A
/// runner that asked many instances does not get calls of all of them at once.
TimePoint backoff_end(Micros backoff, TimePoint now, std::uint64_t random);

} // namespace crosslink
