// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/queue_limit.h>

#include <algorithm>
#include <cmath>

namespace crosslink
{

namespace
{

/// Part of the objective that a call may be expected to wait. Answers of busy
/// runners come later than expected, and a short queue leaves memory to the KV
/// that runners keep.
constexpr double max_wait_part = 0.2;
/// Part of that for calls with one more urgent priority before them, for each
/// such priority. The queue that less urgent calls alone make then leaves the
/// more urgent ones most of theirs.
constexpr double less_urgent_part = 0.5;
/// Part of it for calls of accounts above their fair share.
constexpr double above_share_part = 0.5;
/// Part of the calls that are judged as if they were most urgent and within
/// their share: what the least favored kind of call gets at least, of what the
/// most favored one gets.
constexpr double min_service_part = 0.3;
/// Maximum jitter of a retry delay.
constexpr Micros max_jitter = std::chrono::seconds(5);

/// Returns whether a call is one of those that are judged like the most urgent
/// ones, by bits of `random` that its jitter does not use.
bool
is_favored(std::uint64_t random)
{
    constexpr std::uint64_t steps = 1000;
    return static_cast<double>((random >> 32U) % steps) <
           min_service_part * steps;
}

Micros
strictest(const QueuedCall& call)
{
    const Micros objective = call.urgency.strictest_objective;
    return objective.count() == 0 ? call.objective : objective;
}

/// Returns how long `call` may still be expected to wait.
Micros
allowed_wait(const QueuedCall& call, Micros objective, double part)
{
    return std::max(std::chrono::duration_cast<Micros>(objective * part) -
                        call.waited,
                    Micros{0});
}

} // namespace

Micros
jittered_retry_delay(Micros earliest, std::uint64_t random)
{
    constexpr std::uint64_t steps = 1000;
    const double part =
        static_cast<double>(random % steps) / static_cast<double>(steps);
    const Micros jitter = std::min(earliest, max_jitter);
    return earliest + std::chrono::duration_cast<Micros>(jitter * part);
}

const char*
queue_refusal_name(QueueRefusal::Reason reason)
{
    switch (reason) {
    case QueueRefusal::Reason::LessUrgent:
        return "less_urgent";
    case QueueRefusal::Reason::AboveShare:
        return "above_share";
    case QueueRefusal::Reason::QueueTooLong:
        break;
    }
    return "queue_too_long";
}

std::optional<QueueRefusal>
QueueLimit::refusal(const QueuedCall& call, std::uint64_t random)
{
    if (call.objective.count() == 0)
        return std::nullopt;
    const bool favored = is_favored(random);
    const Micros objective =
        favored ? call.objective : std::min(call.objective, strictest(call));
    double part = max_wait_part;
    if (!favored)
        part *= std::pow(less_urgent_part, call.urgency.level);
    const Micros within_share = allowed_wait(call, objective, part);
    if (call.account_above_share && !favored)
        part *= above_share_part;
    QueueRefusal refusal;
    refusal.allowed = allowed_wait(call, objective, part);
    const Micros excess = call.expected_wait - refusal.allowed;
    if (excess.count() <= 0)
        return std::nullopt;
    refusal.retry_after =
        std::max(min_retry_delay, jittered_retry_delay(excess, random));
    if (call.expected_wait <= within_share)
        refusal.reason = QueueRefusal::Reason::AboveShare;
    else if (call.expected_wait <=
             allowed_wait(call, call.objective, max_wait_part))
        refusal.reason = QueueRefusal::Reason::LessUrgent;
    return refusal;
}

} // namespace crosslink
