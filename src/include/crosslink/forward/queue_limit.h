// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/urgency_tracker.h>

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
    Urgency urgency;     ///< Among the calls of its service.
    /// Its account is above its fair share of the service.
    bool account_above_share = false;
};

/// Why a call is refused, and the delay after which its caller may retry.
struct QueueRefusal {
    /// What a call of the same wait would have been sent for.
    enum class Reason {
        QueueTooLong, ///< Nothing: it is too long for all.
        LessUrgent,   ///< If it were more urgent.
        AboveShare,   ///< If its account were within its fair share.
    };

    Reason reason = Reason::QueueTooLong;
    Micros allowed{0}; ///< Longest wait with which it would have been sent.
    Micros retry_after{0};
};

/// Returns the name of `reason` in logs and metrics.
const char* queue_refusal_name(QueueRefusal::Reason reason);

/// Keeps the queues of runners short when the load exceeds what the runners'
/// memory holds: after the loss of a third of them, or when callers return all
/// at once after an outage of all instances. Without it, all calls wait at the
/// runners as long as the first ones do, every answer is late, and the queue
/// outlasts the overload by ten seconds and more, because callers that were not
/// answered in time retry. A call that would make such a queue longer is
/// refused at once, so that the accepted ones are answered in time. First
/// attempts and retries are treated alike.
///
/// Less urgent calls, and those of accounts above their fair share, are refused
/// at shorter queues. While refusing them is enough, the queue stays short and
/// all others are sent; they get what the others leave. A part of them is
/// judged like the most urgent calls, so that none of them starves.
class QueueLimit
{
public:
    /// Returns nothing if `call` is to be sent, else the reason and the delay
    /// after which its caller may retry, with jitter from `random` bits.
    static std::optional<QueueRefusal> refusal(const QueuedCall& call,
                                               std::uint64_t random);
};

} // namespace crosslink
