// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/news_log.h>

#include <algorithm>
#include <cstddef>

namespace crosslink
{

namespace
{

/// Changes that are remembered. An instance asks several times a second; a
/// rollout over a thousand runners makes as many in some seconds. One that
/// missed more gets everything anew, which costs its link some 100 KB.
constexpr std::size_t most_changes = 4000;

} // namespace

bool
NewsLog::take(const NewsPage& page)
{
    if (page.whole) {
        if (m_place && page.place < *m_place)
            return false;
        take_whole(page);
        return true;
    }
    if (!m_place || page.since != *m_place || page.place < *m_place)
        return false;
    m_place = page.place;
    for (const NewsEntry& entry : page.entries) {
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
NewsLog::take_whole(const NewsPage& page)
{
    m_place = page.place;
    m_first = page.place;
    m_changes.clear();
    m_known.clear();
    for (const NewsEntry& entry : page.entries)
        if (entry.value)
            m_known[entry.key] = entry;
}

NewsPage
NewsLog::whole() const
{
    NewsPage page;
    page.place = *m_place;
    page.whole = true;
    for (const auto& [key, entry] : m_known)
        page.entries.push_back(entry);
    return page;
}

NewsPage
NewsLog::since(std::optional<std::uint64_t> place) const
{
    if (!m_place)
        return {};
    if (!place || *place < m_first)
        return whole();
    NewsPage page;
    page.since = *place;
    page.place = std::max(*place, *m_place);
    for (const NewsEntry& entry : m_changes)
        if (entry.revision > *place)
            page.entries.push_back(entry);
    return page;
}

} // namespace crosslink
