// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/backoff.h>
#include <crosslink/base/time.h>

#include <cstdint>
#include <optional>
#include <random>

namespace crosslink
{

/// Decides how an instance that knows nothing yet learns the platform's data.
///
/// In a small fleet it reads all of them from the platform. In a large one that
/// would cost as many requests as there are runners, divided by a page, for
/// each of the instances, which start together after a loss of power: there,
/// only the holder of the duty reads all. The others ask the holder for their
/// parents in the fleet's tree, and learn from these. An instance that learns
/// nothing for long reads all after all, at a random time.
class StartPlan
{
public:
    /// What to do next.
    enum class Step {
        ReadUnlessLarge, ///< Read all, or find out that the fleet is large.
        ReadAll,
        FindHolder, ///< Ask the platform who holds the duty.
        AskHolder,  ///< Ask the holder for this instance's parents.
        Wait,       ///< Nothing is due.
    };

    /// `random` are random bits, from which all random times are derived.
    explicit StartPlan(std::uint64_t random);

    /// Returns the next step at `now`, and counts it as done. `has_duty` tells
    /// that this instance holds the duty, `holder_known` that it knows the
    /// holder.
    Step next(bool has_duty, bool holder_known, TimePoint now);
    /// Records that the fleet is large.
    void found_large() { m_large = true; }
    /// Records that the holder did not answer, or named no parents: it may be
    /// gone, or not know the fleet yet. The platform is asked for it again.
    void holder_failed(TimePoint now);

private:
    void begin(TimePoint now);

    std::mt19937_64 m_random;
    bool m_large = false;
    Backoff m_find_pause;
    /// When it reads all after all; empty before the first step.
    std::optional<TimePoint> m_read_all_at;
    bool m_find_again = false; ///< Though a holder is known.
    TimePoint m_find_at{};     ///< Not before, it looks for the holder.
    TimePoint m_ask_at{};      ///< Not before, it asks the holder.
};

} // namespace crosslink
