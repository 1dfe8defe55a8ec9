// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/weights/rollout_record.h>

#include <algorithm>

namespace crosslink
{

void
RolloutRecord::recorded(std::span<const std::uint64_t> versions)
{
    m_recorded = std::set(versions.begin(), versions.end());
}

void
RolloutRecord::marked(std::uint64_t version, bool is_set)
{
    if (is_set)
        m_marked.insert(version);
    else
        m_marked.erase(version);
}

void
RolloutRecord::apply_to(WeightsHistory& history, Micros limit,
                        TimePoint now) const
{
    for (const std::uint64_t version : m_recorded) {
        history.found_recorded(version, now);
        // The version and its mark were written together: the mark has expired,
        // or there was no time left for one.
        if (!m_marked.contains(version))
            history.lapsed(version, now - limit);
    }
}

std::vector<std::uint64_t>
RolloutRecord::missing(const WeightsHistory& history) const
{
    const auto& all = history.all();
    const bool full = m_recorded.size() >= recorded_versions;
    std::vector<std::uint64_t> result;
    for (std::size_t i = all.size() - std::min(all.size(), recorded_versions);
         i < all.size(); ++i) {
        const std::uint64_t version = all[i].version;
        const bool too_old = full && version < *m_recorded.begin();
        if (!too_old && !m_recorded.contains(version))
            result.push_back(version);
    }
    return result;
}

std::vector<std::uint64_t>
with_version(std::span<const std::uint64_t> versions, std::uint64_t added)
{
    std::set<std::uint64_t> all(versions.begin(), versions.end());
    all.insert(added);
    while (all.size() > recorded_versions)
        all.erase(all.begin());
    return {all.begin(), all.end()};
}

} // namespace crosslink
