// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/advertised_limit.h>
#include <crosslink/forward/room_estimate.h>

#include <cstdint>
#include <string>

namespace crosslink
{

/// Notices that one process of a runner gave about itself in its answers. They
/// hold for that process, whatever its entry in the platform's list says or
/// whether it has one: entries are renewed automatically, expire, and can't be
/// read or written while the platform is unreachable. The next process under
/// the same id starts without any.
struct RunnerNotices {
    bool leaving = false; ///< It will end: no new calls are sent to it.
    /// It requested no calls from this instance before.
    TimePoint backoff_until{};
    AdvertisedLimit limit;   ///< Calls accepted from all instances together.
    RoomEstimate room;       ///< Used while its service is brittle.
    TimePoint reported_at{}; ///< When the latest one was given.

    /// Returns whether there is nothing that matters later.
    bool empty() const
    {
        return !leaving && backoff_until == TimePoint{} &&
               limit.change() == 0 && room.empty();
    }
};

/// A process that announced that it leaves, as one instance reports it to
/// another.
struct LeavingUpdate {
    std::string runner;
    std::uint64_t start_ms = 0; ///< Its incarnation.
};

/// Returns when a `backoff` that a runner requested at `now` is over: not
/// sooner, and later by at most an eighth of it and at most a second, with
/// jitter from `random` bits. Without the jitter, a runner that requested a
/// backoff of many instances would get calls from all of them at once.
TimePoint backoff_end(Micros backoff, TimePoint now, std::uint64_t random);

} // namespace crosslink
