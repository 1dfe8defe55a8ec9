// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/change_log.h>

#include <algorithm>
#include <cstddef>

namespace crosslink
{

namespace
{

/// Number of changes that are remembered, at least, and for each key. An
/// instance polls several times a second; a rollout over all runners changes
/// the key of each some times within seconds. An instance that missed more gets
/// a snapshot.
constexpr std::size_t min_remembered = 4000;
constexpr std::size_t remembered_per_key = 3;

} // namespace

bool
ChangeLog::apply(const ChangePage& page)
{
    if (page.is_snapshot) {
        if (m_revision && page.revision < *m_revision)
            return false;
        apply_snapshot(page);
        return true;
    }
    if (!m_revision || page.since != *m_revision || page.revision < *m_revision)
        return false;
    m_revision = page.revision;
    for (const KeyChange& entry : page.entries) {
        if (entry.value)
            m_state[entry.key] = entry;
        else
            m_state.erase(entry.key);
        m_changes.push_back(entry);
    }
    const std::size_t most =
        std::max(min_remembered, remembered_per_key * m_state.size());
    while (m_changes.size() > most) {
        m_history_start = std::max(m_history_start, m_changes.front().revision);
        m_changes.pop_front();
    }
    return true;
}

void
ChangeLog::apply_snapshot(const ChangePage& page)
{
    m_revision = page.revision;
    m_history_start = page.revision;
    m_changes.clear();
    m_state.clear();
    for (const KeyChange& entry : page.entries)
        if (entry.value)
            m_state[entry.key] = entry;
}

ChangePage
ChangeLog::snapshot() const
{
    ChangePage page;
    page.revision = *m_revision;
    page.is_snapshot = true;
    for (const auto& [key, entry] : m_state)
        page.entries.push_back(entry);
    return page;
}

ChangePage
ChangeLog::since(std::optional<std::uint64_t> after) const
{
    if (!m_revision)
        return {};
    if (needs_snapshot(after))
        return snapshot();
    ChangePage page;
    page.since = *after;
    page.revision = std::max(*after, *m_revision);
    for (const KeyChange& entry : m_changes)
        if (entry.revision > *after)
            page.entries.push_back(entry);
    return page;
}

} // namespace crosslink
