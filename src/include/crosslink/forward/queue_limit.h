// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <optional>

namespace crosslink
{

/// A caller that was refused comes back after this time at least.
inline constexpr Micros min_retry_delay = std::chrono::milliseconds(250);

/// Returns a time from `earliest` to twice that, and at most 5 s later, by
/// `random` bits: callers that were refused together would be refused together
/// again.
Micros jittered_retry_delay(Micros earliest, std::uint64_t random);

/// A call for a model that may be sent to a runner now.
struct QueuedCall {
    /// Until the runner that was chosen takes it up. The time for its own
    /// prompt does not count: large prompts would be refused first.
    Micros expected_wait{0};
    Micros objective{0}; ///< From its arrival to its first event; 0 for none.
    Micros waited{0};    ///< Since its arrival.
};

/// Keeps the queues of runners short. Answers load that is greater than what
/// the runners' memory holds: a third of them lost, or callers that come back
/// all at once after all instances were gone. Without it all calls wait at the
/// runners for as long as the first ones do, each answer is late, and the queue
/// outlasts the load by ten seconds and more, as callers that were not answered
/// in time repeat. A call that would make such a queue longer is refused at
/// once, so that those that are taken come in time. All callers are judged
/// alike, whether they come for the first time or again.
class QueueLimit
{
public:
    /// Returns nothing where `call` is sent; else the time after which its
    /// caller may come back, spread by `random` bits.
    static std::optional<Micros> refusal(const QueuedCall& call,
                                         std::uint64_t random);
};

} // namespace crosslink
