// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/segment_holders.h>

#include <crosslink/forward/runner_entry.h>
#include <crosslink/forward/runner_query.h>
#include <crosslink/membership/rendezvous.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace crosslink
{

namespace
{

using Runners = std::vector<const RunnerEntry*>;

/// Holders of a segment, as a multiple of those that its demand takes up: with
/// exactly as many, each would have to be busy all the time.
constexpr double spare_holders = 1.5;

/// Returns how many of `runners` hold a segment.
std::size_t
holder_count(const SharedSegment& segment, std::size_t runners)
{
    const double wanted =
        spare_holders * segment.demand * static_cast<double>(runners);
    return static_cast<std::size_t>(std::max(std::round(wanted), 1.0));
}

/// Returns how likely one of `holders` still has a segment: its memory holds
/// the last prompts that fit, and the segment is there if one of them had it.
double
chance_kept(const SharedSegment& segment, std::size_t runners,
            std::size_t holders, const RunnerQuery& query)
{
    const double part = std::min(segment.demand * static_cast<double>(runners) /
                                     static_cast<double>(holders),
                                 1.0);
    const double prompts =
        static_cast<double>(query.memory_tokens) /
        static_cast<double>(std::max<std::uint64_t>(query.resident, 1));
    return 1 - std::pow(1 - part, prompts);
}

/// Returns the first `count` of `runners` by rendezvous for `key`.
Runners
first_by_rendezvous(const Runners& runners, std::string_view key,
                    std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const RunnerEntry*>> weighed;
    weighed.reserve(runners.size());
    for (const RunnerEntry* entry : runners)
        weighed.emplace_back(rendezvous_weight(key, entry->listed.id), entry);
    const std::size_t taken = std::min(count, weighed.size());
    const auto end = weighed.begin() + static_cast<std::ptrdiff_t>(taken);
    std::partial_sort(weighed.begin(), end, weighed.end(), std::greater<>());
    Runners first;
    for (auto item = weighed.begin(); item != end; ++item)
        first.push_back(item->second);
    return first;
}

} // namespace

SegmentHolders::SegmentHolders(std::span<const RunnerEntry* const> runners,
                               const RunnerQuery& query)
{
    Runners holders(runners.begin(), runners.end());
    for (const SharedSegment& segment : query.segments) {
        const std::size_t count = holder_count(segment, runners.size());
        holders = first_by_rendezvous(holders, segment.id, count);
        const double chance =
            chance_kept(segment, runners.size(), holders.size(), query);
        m_groups.push_back({holders, chance * in_milliseconds(segment.saved)});
    }
}

double
SegmentHolders::saved_ms(const RunnerEntry& entry) const
{
    if (!entry.served)
        return 0;
    double saved = 0;
    for (const Group& group : m_groups)
        if (std::find(group.runners.begin(), group.runners.end(), &entry) !=
            group.runners.end())
            saved += group.saved_ms;
    return saved;
}

} // namespace crosslink
