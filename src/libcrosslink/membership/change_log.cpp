// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/change_log.h>

#include <algorithm>
#include <cstddef>

namespace crosslink
{

namespace
{

/// Number of changes that are remembered. An instance polls several times a
/// second; a rollout over a thousand runners makes that many changes within
/// seconds. An instance that missed more gets a snapshot, which costs its link
/// about 100 KB.
constexpr std::size_t most_changes = 4000;

} // namespace

bool
ChangeLog::apply(const ChangePage& page)
{
    if (page.is_snapshot) {
        if (m_place && page.revision < *m_place)
            return false;
        take_whole(page);
        return true;
    }
    if (!m_place || page.since != *m_place || page.revision < *m_place)
        return false;
    m_place = page.revision;
    for (const KeyChange& entry : page.entries) {
        if (entry.value)
            m_known[entry.key] = entry;
        else
            m_known.erase(entry.key);
        m_changes.push_back(entry);
    }
    while (m_changes.size() > most_changes) {
        m_first = std::max(m_first, m_changes.front().revision);
        m_changes.pop_front();
    }
    return true;
}

void
ChangeLog::take_whole(const ChangePage& page)
{
    m_place = page.revision;
    m_first = page.revision;
    m_changes.clear();
    m_known.clear();
    for (const KeyChange& entry : page.entries)
        if (entry.value)
            m_known[entry.key] = entry;
}

ChangePage
ChangeLog::whole() const
{
    ChangePage page;
    page.revision = *m_place;
    page.is_snapshot = true;
    for (const auto& [key, entry] : m_known)
        page.entries.push_back(entry);
    return page;
}

ChangePage
ChangeLog::since(std::optional<std::uint64_t> place) const
{
    if (!m_place)
        return {};
    if (!place || *place < m_first)
        return whole();
    ChangePage page;
    page.since = *place;
    page.revision = std::max(*place, *m_place);
    for (const KeyChange& entry : m_changes)
        if (entry.revision > *place)
            page.entries.push_back(entry);
    return page;
}

} // namespace crosslink
