// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/restored_copy.h>

#include <utility>

namespace crosslink
{

namespace
{

/// Runners and operators write theirs again within two seconds, instances their
/// presence within three; entries of processes that are gone expire after three
/// heartbeats of silence, some four seconds.
constexpr Micros rewriting_time = std::chrono::seconds(5);

} // namespace

void
RestoredCopy::begin(std::span<const KeyChange> differences, TimePoint now)
{
    for (const KeyChange& entry : differences)
        m_keys.insert(entry.key);
    m_due_at = now + rewriting_time;
}

void
RestoredCopy::written(std::span<const KeyChange> changes)
{
    if (m_keys.empty())
        return;
    for (const KeyChange& entry : changes)
        m_keys.erase(entry.key);
}

std::set<std::string>
RestoredCopy::take_due(TimePoint now)
{
    if (m_keys.empty() || now < m_due_at)
        return {};
    return std::exchange(m_keys, {});
}

} // namespace crosslink
