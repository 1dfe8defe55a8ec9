// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/route/link_table.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Assumed speed of an unknown link, in bytes per second: low enough that the
/// first fetches are short ones, from which the real speed is measured.
constexpr double initial_speed = 200e6;
/// Weight of the newest measurement.
constexpr double smoothing_factor = 0.3;
constexpr double min_speed = 1e3;

} // namespace

LinkTable::Link&
LinkTable::link(std::string_view store)
{
    const auto found = m_links.find(store);
    if (found != m_links.end())
        return found->second;
    return m_links.emplace(std::string(store), Link{initial_speed})
        .first->second;
}

void
LinkTable::begin(std::string_view store, std::uint64_t bytes)
{
    link(store).bytes_in_flight += bytes;
}

void
LinkTable::end(std::string_view store, std::uint64_t bytes, Micros took,
               bool whole)
{
    Link& entry = link(store);
    const std::uint64_t in_flight = std::max(entry.bytes_in_flight, bytes);
    entry.bytes_in_flight -= std::min(entry.bytes_in_flight, bytes);
    if (!whole || took.count() <= 0)
        return;
    entry.fetched += bytes;
    // Other fetches in flight shared the link, so the link was faster than this
    // fetch alone; half of their bytes are assumed to have been carried
    // meanwhile.
    const double carried =
        static_cast<double>(bytes) + static_cast<double>(in_flight - bytes) / 2;
    const double measured = std::max(carried / seconds(took), min_speed);
    entry.bytes_per_second +=
        smoothing_factor * (measured - entry.bytes_per_second);
}

Micros
LinkTable::expected(std::string_view store, std::uint64_t bytes) const
{
    const auto found = m_links.find(store);
    if (found == m_links.end())
        return from_seconds(static_cast<double>(bytes) / initial_speed);
    const Link& entry = found->second;
    const auto bytes_ahead = static_cast<double>(entry.bytes_in_flight + bytes);
    return from_seconds(bytes_ahead / entry.bytes_per_second);
}

std::uint64_t
LinkTable::fetched(std::string_view store) const
{
    const auto found = m_links.find(store);
    return found == m_links.end() ? 0 : found->second.fetched;
}

double
LinkTable::speed(std::string_view store) const
{
    const auto found = m_links.find(store);
    return found == m_links.end() ? initial_speed
                                  : found->second.bytes_per_second;
}

std::vector<LinkState>
LinkTable::states() const
{
    std::vector<LinkState> result;
    for (const auto& [store, link] : m_links)
        result.push_back(
            {store, link.bytes_per_second, link.bytes_in_flight, link.fetched});
    return result;
}

} // namespace crosslink
