// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/crash_key.h>
#include <crosslink/forward/crash_suspects.h>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace crosslink
{

namespace
{

/// Ends under one runner id that are less than this apart are the same end,
/// seen by several instances or on connections that were kept from before it: a
/// process takes longer to start and accept a call.
constexpr Micros same_end_window = std::chrono::seconds(2);

/// Numbers of ends; equal ones have the same number.
class EndNumbers
{
public:
    std::size_t number(const ProcessEnd& end)
    {
        auto& known = m_ends[{end.runner, end.start_ms}];
        for (const auto& [other, number] : known)
            if (is_same_end(other, end))
                return number;
        known.emplace_back(end, m_next);
        return m_next++;
    }

private:
    using Process = std::pair<std::string_view, std::uint64_t>;
    std::map<Process, std::vector<std::pair<ProcessEnd, std::size_t>>> m_ends;
    std::size_t m_next = 0;
};

/// A suspect and the numbers of the ends that nothing explains yet.
struct OpenSuspect {
    const CrashSuspect* suspect;
    std::set<std::size_t> ends;
};

/// Returns when the last answer before the ends came: long ago if none did.
TimePoint
last_answer(const OpenSuspect& open)
{
    return open.suspect->answered_at.value_or(TimePoint::min());
}

/// Returns whether `one` explains less than `other`, or would be blocked after
/// it.
bool
is_less_suspect(const OpenSuspect& one, const OpenSuspect& other)
{
    const auto rank = [](const OpenSuspect& open, TimePoint answered_by_rival) {
        return std::tuple(open.ends.size(), !is_part_key(open.suspect->key),
                          answered_by_rival, open.suspect->key);
    };
    return rank(one, last_answer(other)) < rank(other, last_answer(one));
}

} // namespace

bool
is_same_end(const ProcessEnd& one, const ProcessEnd& other)
{
    if (one.runner != other.runner || one.start_ms != other.start_ms)
        return false;
    return one.start_ms != 0 ||
           std::chrono::abs(one.at - other.at) < same_end_window;
}

std::vector<Culprit>
find_culprits(std::span<const CrashSuspect> suspects, std::size_t min_ends)
{
    EndNumbers numbers;
    std::vector<OpenSuspect> open;
    for (const CrashSuspect& suspect : suspects) {
        open.push_back({&suspect, {}});
        for (const ProcessEnd& end : suspect.ends)
            open.back().ends.insert(numbers.number(end));
    }
    std::vector<Culprit> culprits;
    while (!open.empty()) {
        const auto most =
            std::max_element(open.begin(), open.end(), is_less_suspect);
        if (most->ends.size() < min_ends)
            break;
        const OpenSuspect culprit = std::move(*most);
        open.erase(most);
        const bool is_tied = std::any_of(open.begin(), open.end(),
                                         [&culprit](const OpenSuspect& other) {
                                             return other.ends == culprit.ends;
                                         });
        culprits.push_back({culprit.suspect->key, is_tied});
        for (OpenSuspect& other : open)
            for (const std::size_t end : culprit.ends)
                other.ends.erase(end);
    }
    return culprits;
}

} // namespace crosslink
