// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/rate_limit.h>

#include <cstdint>
#include <string>

namespace crosslink
{

/// What one instance tells another of a runner that named a limit.
struct LimitUpdate {
    std::string runner;
    std::uint64_t start_ms = 0;        ///< Its incarnation.
    double per_second = no_rate_limit; ///< See AnswerHead::rate_limit.
    std::uint64_t change = 0;          ///< See AdvertisedLimit.
    std::uint64_t heard = 0;           ///< See AdvertisedLimit.
};

/// How many calls a second a runner takes from all instances together, by its
/// own word in answers. Words overtake each other on their way, so that changes
/// are counted: what is told with more of them is newer, and an answer counts
/// only where its call was sent after the last change was heard. Of two changes
/// that were heard apart, and count the same, the lower limit holds until the
/// next answer. Answers that said so are counted too: an age would seem less
/// with each instance that tells it on.
class AdvertisedLimit
{
public:
    bool in_force() const { return m_per_second != no_rate_limit; }
    double per_second() const { return m_per_second; }
    /// How often it changed, as far as is known.
    std::uint64_t change() const { return m_change; }
    /// How many answers said so, as far as is known.
    std::uint64_t heard() const { return m_heard; }
    /// When this instance last learned of another one.
    TimePoint heard_at() const { return m_heard_at; }

    /// Takes in what an answer names whose call was sent at `known` changes.
    /// Returns whether the limit changed.
    bool answered(double per_second, std::uint64_t known, TimePoint now);
    /// Takes in what another instance told. Returns whether the limit changed.
    bool told(const LimitUpdate& news, TimePoint now);
    /// Returns whether other instances are to be told of it: while it is in
    /// force, and for some time after its end.
    bool is_news(TimePoint now) const;

private:
    double m_per_second = no_rate_limit;
    std::uint64_t m_change = 0;
    std::uint64_t m_heard = 0;
    TimePoint m_heard_at{};
    TimePoint m_changed_at{};
};

} // namespace crosslink
