// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/weights/weights_history.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Age of a version that was named at an unknown time: longer than any bound.
constexpr Micros undated_age = std::chrono::hours(1);

} // namespace

void
WeightsHistory::named(std::uint64_t version, TimePoint now)
{
    if (version > newest())
        m_versions.push_back({version, now});
}

void
WeightsHistory::named_earlier(std::uint64_t version, TimePoint at)
{
    const auto position = position_of(version);
    if (position == m_versions.end())
        return;
    if (position->version != version) {
        m_versions.insert(position, {version, at});
        return;
    }
    position->at = position->is_undated ? at : std::min(position->at, at);
    position->is_undated = false;
}

void
WeightsHistory::found(std::uint64_t version, TimePoint now)
{
    const auto position = position_of(version);
    if (position == m_versions.end()) {
        m_versions.push_back({version, now, true});
        return;
    }
    // Older weights were named before newer ones.
    if (position->version != version)
        m_versions.insert(position,
                          {version, std::min(now, position->at), true});
}

void
WeightsHistory::found_at_start(std::uint64_t version, TimePoint now)
{
    const auto position = position_of(version);
    if (position != m_versions.end() && position->version == version)
        return;
    m_versions.insert(position, NamedWeights{.version = version,
                                             .at = now - undated_age,
                                             .is_found = true,
                                             .is_undated = true});
}

void
WeightsHistory::found_recorded(std::uint64_t version, TimePoint now)
{
    const auto position = position_of(version);
    if (position == m_versions.end() || position->version != version ||
        !position->is_undated) {
        found(version, now);
        return;
    }
    position->at = now;
    position->is_undated = false;
}

void
WeightsHistory::lapsed(std::uint64_t version, TimePoint at)
{
    const auto position = position_of(version);
    if (position == m_versions.end() || position->version != version ||
        !position->is_found)
        return;
    if (!position->is_lapsed)
        position->at = std::min(position->at, at);
    position->is_lapsed = true;
}

std::vector<NamedWeights>::iterator
WeightsHistory::position_of(std::uint64_t version)
{
    return std::find_if(m_versions.begin(), m_versions.end(),
                        [version](const NamedWeights& named) {
                            return named.version >= version;
                        });
}

std::uint64_t
WeightsHistory::newest() const
{
    return m_versions.empty() ? 0 : m_versions.back().version;
}

std::optional<TimePoint>
WeightsHistory::replaced_at(std::uint64_t version) const
{
    for (const NamedWeights& named : m_versions)
        if (named.version > version)
            return named.at;
    return std::nullopt;
}

std::uint64_t
WeightsHistory::minimum_version(Micros bound, TimePoint now,
                                const PlatformAvailability& reach) const
{
    std::uint64_t version = 0;
    for (const NamedWeights& named : m_versions)
        if (named.is_lapsed || reach.available_time(named.at, now) >= bound)
            version = named.version;
    return version;
}

Micros
WeightsHistory::left(std::uint64_t version, Micros bound, TimePoint now,
                     const PlatformAvailability& reach) const
{
    for (const NamedWeights& named : m_versions)
        if (named.version == version && !named.is_lapsed)
            return std::max(bound - reach.available_time(named.at, now),
                            Micros{0});
    return Micros{0};
}

} // namespace crosslink
