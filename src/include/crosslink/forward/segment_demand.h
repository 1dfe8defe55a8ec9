// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace crosslink
{

/// What part of an instance's prompts contains each shared segment, by service.
/// Calls are spread over the instances of a zone alike, so that the part at one
/// stands for that of the zone. Soft state: older calls count less.
class SegmentDemand
{
public:
    /// Half-life of a call's weight: shorter than the swings of demand, and
    /// long enough for some calls of each frequent segment at an instance with
    /// five calls a second.
    static constexpr Micros half_life = std::chrono::seconds(5);
    /// Segments that are counted at most; further ones count as rare.
    static constexpr std::size_t max_segments = 2048;

    /// Records a prompt of `tokens` for `service`.
    void called(std::string_view service, std::uint64_t tokens, TimePoint now);
    /// Records that a prompt of `tokens` contains `segment`. Returns the part
    /// of the service's prompt tokens that are in prompts with it.
    double contained(std::string_view service, std::string_view segment,
                     std::uint64_t tokens, TimePoint now);

    std::size_t segments_counted() const { return m_segments.size(); }

private:
    /// A sum of which half is left after each half-life.
    struct Fading {
        double sum = 0;
        TimePoint at{};

        void add(double value, TimePoint now);
        double left(TimePoint now) const;
    };
    using Key = std::pair<std::string, std::string>; ///< Service, segment.

    void drop_old(TimePoint now);

    std::map<std::string, Fading, std::less<>> m_services;
    std::map<Key, Fading> m_segments;
    TimePoint m_drop_at{}; ///< Old segments are not looked for before.
};

} // namespace crosslink
