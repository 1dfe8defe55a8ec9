// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/weights/weights_history.h>

#include <algorithm>

namespace crosslink
{

void
WeightsHistory::named(std::uint64_t version, TimePoint now)
{
    if (version > newest())
        m_named.push_back({version, now});
}

void
WeightsHistory::named_earlier(std::uint64_t version, TimePoint at)
{
    const auto place = place_of(version);
    if (place == m_named.end())
        return;
    if (place->version == version)
        place->at = std::min(place->at, at);
    else
        m_named.insert(place, {version, at});
}

void
WeightsHistory::found(std::uint64_t version, TimePoint now)
{
    const auto place = place_of(version);
    if (place == m_named.end()) {
        m_named.push_back({version, now, true});
        return;
    }
    // Older weights were named before newer ones.
    if (place->version != version)
        m_named.insert(place, {version, std::min(now, place->at), true});
}

void
WeightsHistory::lapsed(std::uint64_t version, TimePoint at)
{
    const auto place = place_of(version);
    if (place == m_named.end() || place->version != version || !place->is_found)
        return;
    if (!place->is_lapsed)
        place->at = std::min(place->at, at);
    place->is_lapsed = true;
}

std::vector<NamedWeights>::iterator
WeightsHistory::place_of(std::uint64_t version)
{
    return std::find_if(m_named.begin(), m_named.end(),
                        [version](const NamedWeights& named) {
                            return named.version >= version;
                        });
}

std::uint64_t
WeightsHistory::newest() const
{
    return m_named.empty() ? 0 : m_named.back().version;
}

std::optional<TimePoint>
WeightsHistory::replaced_at(std::uint64_t version) const
{
    for (const NamedWeights& named : m_named)
        if (named.version > version)
            return named.at;
    return std::nullopt;
}

std::uint64_t
WeightsHistory::minimum_version(Micros bound, TimePoint now,
                                const PlatformAvailability& reach) const
{
    std::uint64_t version = 0;
    for (const NamedWeights& named : m_named)
        if (named.is_lapsed || reach.available_time(named.at, now) >= bound)
            version = named.version;
    return version;
}

Micros
WeightsHistory::left(std::uint64_t version, Micros bound, TimePoint now,
                     const PlatformAvailability& reach) const
{
    for (const NamedWeights& named : m_named)
        if (named.version == version && !named.is_lapsed)
            return std::max(bound - reach.available_time(named.at, now),
                            Micros{0});
    return Micros{0};
}

} // namespace crosslink
