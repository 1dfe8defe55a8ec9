// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/rate_limit.h>

#include <cstdint>
#include <string>

namespace crosslink
{

/// The limit that a runner advertised, as one instance reports it to another.
struct LimitUpdate {
    std::string runner;
    std::uint64_t start_ms = 0;        ///< Its incarnation.
    double per_second = no_rate_limit; ///< See AnswerHead::rate_limit.
    std::uint64_t change = 0;          ///< See AdvertisedLimit.
    std::uint64_t confirmations = 0;   ///< AdvertisedLimit::confirmations().
};

/// The number of calls a second that a runner accepts from all instances
/// together, as it advertises in its answers. Reports can arrive out of order,
/// so changes are counted: of two reports the one with more changes is newer,
/// and an answer counts only if its call was sent after the last change was
/// known. If two instances learn of different changes independently and their
/// counts are equal, the lower limit holds until the next answer. The answers
/// that confirmed the limit are counted too: an age would shrink with each
/// instance that passes it on.
class AdvertisedLimit
{
public:
    bool in_force() const { return m_per_second != no_rate_limit; }
    double per_second() const { return m_per_second; }
    /// Number of changes, as far as known.
    std::uint64_t change() const { return m_change; }
    /// Number of answers that confirmed the limit, as far as known.
    std::uint64_t confirmations() const { return m_confirmations; }
    /// When this instance last learned of a further such answer.
    TimePoint confirmed_at() const { return m_confirmed_at; }

    /// Applies the limit in an answer to a call that was sent when `known`
    /// changes were known. Returns whether the limit changed.
    bool apply_answer(double per_second, std::uint64_t known, TimePoint now);
    /// Merges a report of another instance. Returns whether the limit changed.
    bool merge(const LimitUpdate& update, TimePoint now);
    /// Returns whether other instances are to be informed: while the limit is
    /// in force, and for some time after its end.
    bool needs_reporting(TimePoint now) const;

private:
    double m_per_second = no_rate_limit;
    std::uint64_t m_change = 0;
    std::uint64_t m_confirmations = 0;
    TimePoint m_confirmed_at{};
    TimePoint m_changed_at{};
};

} // namespace crosslink
