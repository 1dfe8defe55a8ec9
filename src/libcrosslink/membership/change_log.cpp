// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/change_log.h>

#include <algorithm>
#include <cstddef>
#include <string_view>

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
    if (m_position && page.position < *m_position)
        return false;
    if (page.is_snapshot) {
        apply_snapshot(page);
        return true;
    }
    const StorePosition since{page.position.era, page.since};
    if (m_position != since)
        return false;
    m_position = page.position;
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
        m_history_start.revision =
            std::max(m_history_start.revision, m_changes.front().revision);
        m_changes.pop_front();
    }
    return true;
}

ChangePage
ChangeLog::differences(const ChangePage& snapshot) const
{
    ChangePage changes;
    changes.position = snapshot.position;
    std::set<std::string_view> present;
    for (const KeyChange& entry : snapshot.entries) {
        present.insert(entry.key);
        const auto known = m_state.find(entry.key);
        if (known == m_state.end() || known->second.value != entry.value)
            changes.entries.push_back(entry);
    }
    for (const auto& [key, entry] : m_state)
        if (!present.contains(key))
            changes.entries.push_back(
                {key, std::nullopt, snapshot.position.revision});
    return changes;
}

ChangePage
ChangeLog::state_of(const std::set<std::string>& keys) const
{
    ChangePage page;
    page.position = m_position.value_or(StorePosition{});
    for (const std::string& key : keys) {
        const auto known = m_state.find(key);
        if (known == m_state.end())
            page.entries.push_back({key, std::nullopt, page.position.revision});
        else
            page.entries.push_back(known->second);
    }
    return page;
}

void
ChangeLog::apply_snapshot(const ChangePage& page)
{
    m_position = page.position;
    m_history_start = page.position;
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
    page.position = *m_position;
    page.is_snapshot = true;
    for (const auto& [key, entry] : m_state)
        page.entries.push_back(entry);
    return page;
}

ChangePage
ChangeLog::since(std::optional<StorePosition> after) const
{
    if (!m_position)
        return {};
    if (needs_snapshot(after))
        return snapshot();
    ChangePage page;
    page.position = *m_position;
    if (after->era > m_position->era)
        return page;
    page.since = after->revision;
    page.position = std::max(*after, *m_position);
    for (const KeyChange& entry : m_changes)
        if (entry.revision > after->revision)
            page.entries.push_back(entry);
    return page;
}

} // namespace crosslink
