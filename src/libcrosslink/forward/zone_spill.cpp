// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/zone_spill.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Difference of the waits below which no call goes: traffic between zones is
/// expensive, and callers do not notice such a difference.
constexpr double tolerated_ms = 15;
/// Greatest part of the calls that go to other zones, and the difference of the
/// waits from which on it does. Reports are up to 0.5 s old: with a part that
/// grows faster, the waits swing back before the instances learn of it.
constexpr double max_part = 0.25;
constexpr double full_spill_ms = 250;

/// Returns a number from 0 to 1, below 1, from bits that other draws of the
/// same call do not depend on: multiplied by 2^64 divided by the golden ratio,
/// similar numbers differ in all high bits.
double
fraction_of(std::uint64_t random)
{
    constexpr std::uint64_t odd = 0x9E3779B97F4A7C15U;
    constexpr int used_bits = 53;
    const std::uint64_t mixed = (random ^ (random >> 32U)) * odd;
    return static_cast<double>(mixed >> (64 - used_bits)) /
           static_cast<double>(std::uint64_t{1} << used_bits);
}

} // namespace

std::string_view
ZoneSpill::choose(std::string_view zone, const Costs& costs,
                  std::uint64_t random)
{
    const auto own = costs.find(zone);
    if (own == costs.end())
        return zone;
    double gain = 0;
    double gains = 0;
    const auto gain_at = [&](double cost) {
        return std::max(own->second - cost - tolerated_ms, 0.0);
    };
    for (const auto& [other, cost] : costs) {
        gain = std::max(gain, gain_at(cost));
        gains += gain_at(cost);
    }
    if (gains == 0)
        return zone;
    const double part = max_part * std::min(gain / full_spill_ms, 1.0);
    // Below `part` the call goes to one of the zones, in proportion to the
    // gains.
    double left = fraction_of(random) / part * gains;
    for (const auto& [other, cost] : costs) {
        left -= gain_at(cost);
        if (left < 0)
            return other;
    }
    return zone;
}

} // namespace crosslink
