// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <optional>

namespace crosslink
{

/// Minimum time after which a refused caller may retry.
inline constexpr Micros min_retry_delay = std::chrono::milliseconds(250);

/// Returns a delay from `earliest` to twice that, but at most 5 s more, with
/// jitter from `random` bits: callers that were refused together would
/// otherwise retry together and be refused again.
Micros jittered_retry_delay(Micros earliest, std::uint64_t random);

/// A call for a model that may be sent to a runner now.
struct QueuedCall {
    /// Until the chosen runner starts on the call. The prefill time of its own
    /// prompt does not count: large prompts would be refused first.
    Micros expected_wait{0};
    Micros objective{0}; ///< From arrival to first event; 0 for none.
    Micros waited{0};    ///< Since its arrival.
};

/// Keeps the queues of runners short when the load exceeds what the runners'
/// memory holds: after the loss of a third of them, or when callers return all
/// at once after an outage of all instances. Without it, all calls wait at the
/// runners as long as the first ones do, every answer is late, and the queue
/// outlasts the overload by ten seconds and more, because callers that were not
/// answered in time retry. A call that would make such a queue longer is
/// refused at once, so that the accepted ones are answered in time. First
/// attempts and retries are treated alike.
class QueueLimit
{
public:
    /// Returns nothing if `call` is to be sent, else the delay after which its
    /// caller may retry, with jitter from `random` bits.
    static std::optional<Micros> refusal(const QueuedCall& call,
                                         std::uint64_t random);
};

} // namespace crosslink
