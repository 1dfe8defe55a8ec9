// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>

namespace crosslink
{

/// Ratios of recent answers to what was expected of them, for a sum over
/// instances.
struct SpeedEvidence {
    double answers = 0; ///< Recent ones; older ones count less.
    double ratios = 0;  ///< Their sum.
};

/// Returns the mean ratio of a process by `evidence`. Its first answers count
/// little: until they are known, it is expected to be as the mean of its
/// service.
double pooled_ratio(const SpeedEvidence& evidence, double service);

/// Returns whether a call with the random bits `draws` is among `part` of all
/// calls.
bool is_drawn(double part, std::uint64_t draws);

/// How the answers of a service compare to what was expected of them.
struct ServiceSpeed {
    double ratio = 1; ///< Mean ratio.
    Micros time{0};   ///< Mean time; 0 if it is not known.
    TimePoint last{}; ///< When the last answer came.

    /// Returns how much later than the mean a process answers whose mean ratio
    /// is `process`; at least 0.
    Micros slowness(double process) const;
};

/// How the answers of one process, or of all processes of a service, compare to
/// what was expected of them, as a moving average of ratios. Single answers
/// count up to max_ratio, so that an odd one changes little.
class ResponseSpeed
{
public:
    /// Greatest ratio of one answer that counts.
    static constexpr double max_ratio = 4;
    /// Time after the last answer at which nothing is known any more; until
    /// then, what is known fades.
    static constexpr Micros lifetime = std::chrono::seconds(3);

    /// Records an answer that was expected after `expected` and came after
    /// `taken`.
    void answered(Micros expected, Micros taken, TimePoint now);
    /// Returns the mean ratio; 1 if nothing is known.
    double ratio(TimePoint now) const;
    /// Returns the mean time that answers took; 0 if nothing is known.
    Micros mean_time(TimePoint now) const;
    /// Returns the recent answers.
    SpeedEvidence evidence(TimePoint now) const;
    /// Returns when the last answer came.
    TimePoint last() const { return m_at; }

private:
    double m_ratio = 1;
    double m_seconds = 0;
    SpeedEvidence m_evidence; ///< As of m_at.
    TimePoint m_at{};
};

/// Returns how much later a process answers than the mean of its service; at
/// least 0. Answers the load of runners that turn slow for some seconds, or are
/// slower than others for good: they get less, and their part again once they
/// answer as fast as the others.
Micros slowness(const ResponseSpeed& process, const ResponseSpeed& service,
                TimePoint now);

} // namespace crosslink
