// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstddef>

namespace crosslink
{

/// Whether the one software version that an instance knows of a service is
/// shown to be the only one that can have begun a stream which nobody
/// remembers. An instance that stood still or is cut off knows the past only,
/// and that others do not answer shows nothing.
class SoftwareEvidence
{
public:
    /// Records that a home of the stream answered, and knows neither its origin
    /// nor another version.
    void home_answered() { ++m_answered; }
    /// Records that a home of the stream did not answer.
    void home_silent() { ++m_silent; }
    /// Returns whether all homes that there are have answered, and there is at
    /// least one: who begins a stream at another version tells one of them.
    bool homes_show_it() const { return m_answered > 0 && m_silent == 0; }
    /// Returns whether the list of runners shows it that was complete as of
    /// `confirmed`, for a stream that was taken up at `asked`: a version is
    /// listed before it begins a stream.
    static bool list_shows_it(TimePoint confirmed, TimePoint asked)
    {
        return confirmed >= asked;
    }

private:
    std::size_t m_answered = 0;
    std::size_t m_silent = 0;
};

} // namespace crosslink
