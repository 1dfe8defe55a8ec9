// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/stale_parts.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// A store refuses a request to free parts once the duty's lease of two seconds
/// has ended. Until then the part may not be saved there again.
constexpr Micros free_time_limit = std::chrono::seconds(3);

} // namespace

void
StaleParts::add(const std::string& store, const KeptKey& key,
                std::uint32_t tokens, TimePoint due)
{
    if (!contains(store, key))
        m_stale_parts.push_back({store, key, tokens, due});
}

bool
StaleParts::contains(const KeptKey& key) const
{
    return std::any_of(
        m_stale_parts.begin(), m_stale_parts.end(),
        [&key](const StalePart& stale) { return stale.key == key; });
}

bool
StaleParts::contains(const std::string& store, const KeptKey& key) const
{
    return std::any_of(m_stale_parts.begin(), m_stale_parts.end(),
                       [&](const StalePart& stale) {
                           return stale.store == store && stale.key == key;
                       });
}

void
StaleParts::remove_stores(const std::function<bool(const std::string&)>& gone)
{
    std::erase_if(m_stale_parts, [&gone](const StalePart& stale) {
        return gone(stale.store);
    });
}

std::vector<StalePart>
StaleParts::take_due(const std::function<bool(const StalePart&)>& may_free,
                     TimePoint now)
{
    std::vector<StalePart> result;
    for (StalePart& stale : m_stale_parts) {
        if (stale.free_requested || !may_free(stale))
            continue;
        result.push_back(stale);
        stale.free_requested = true;
        stale.due = now + free_time_limit;
    }
    std::erase_if(m_stale_parts, [now](const StalePart& stale) {
        return stale.free_requested && now >= stale.due;
    });
    return result;
}

} // namespace crosslink
