// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/kept_leftovers.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// A store refuses a request to free parts once the duty's lease of two seconds
/// has ended. Until then the part may not be saved there again.
constexpr Micros free_under_way = std::chrono::seconds(3);

} // namespace

void
KeptLeftovers::add(const std::string& store, const KeptKey& key,
                   std::uint32_t tokens, TimePoint due)
{
    if (!contains(store, key))
        m_leftovers.push_back({store, key, tokens, due});
}

bool
KeptLeftovers::contains(const KeptKey& key) const
{
    return std::any_of(
        m_leftovers.begin(), m_leftovers.end(),
        [&key](const KeptLeftover& left) { return left.key == key; });
}

bool
KeptLeftovers::contains(const std::string& store, const KeptKey& key) const
{
    return std::any_of(m_leftovers.begin(), m_leftovers.end(),
                       [&](const KeptLeftover& left) {
                           return left.store == store && left.key == key;
                       });
}

void
KeptLeftovers::forget_stores(
    const std::function<bool(const std::string&)>& gone)
{
    std::erase_if(m_leftovers, [&gone](const KeptLeftover& left) {
        return gone(left.store);
    });
}

std::vector<KeptLeftover>
KeptLeftovers::take_due(
    const std::function<bool(const KeptLeftover&)>& may_free, TimePoint now)
{
    std::vector<KeptLeftover> result;
    for (KeptLeftover& left : m_leftovers) {
        if (left.told_free || !may_free(left))
            continue;
        result.push_back(left);
        left.told_free = true;
        left.due = now + free_under_way;
    }
    std::erase_if(m_leftovers, [now](const KeptLeftover& left) {
        return left.told_free && now >= left.due;
    });
    return result;
}

} // namespace crosslink
