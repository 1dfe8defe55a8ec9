// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/unlisted_words.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// A process that is not listed for so long has ended: the platform lists a
/// living one within seconds of its own return.
constexpr Micros kept_for = std::chrono::minutes(10);

} // namespace

void
UnlistedWords::keep(const RunnerIncarnation& runner, const RunnerWords& words)
{
    if (words.empty())
        return;
    Kept& kept = m_kept[std::string(runner.id)];
    if (runner.born >= kept.born)
        kept = {runner.born, words};
}

RunnerWords
UnlistedWords::take(const RunnerIncarnation& runner)
{
    const auto found = m_kept.find(runner.id);
    if (found == m_kept.end() || found->second.born > runner.born)
        return {};
    const Kept kept = found->second;
    m_kept.erase(found);
    return kept.born == runner.born ? kept.words : RunnerWords();
}

RunnerWords*
UnlistedWords::find(const RunnerIncarnation& runner)
{
    Kept& kept = m_kept[std::string(runner.id)];
    if (runner.born < kept.born)
        return nullptr;
    if (runner.born > kept.born)
        kept = {runner.born, {}};
    return &kept.words;
}

void
UnlistedWords::expire(TimePoint now)
{
    std::erase_if(m_kept, [now](const auto& item) {
        const RunnerWords& words = item.second.words;
        return now >= std::max(words.heard_at + kept_for, words.backoff_until);
    });
}

} // namespace crosslink
