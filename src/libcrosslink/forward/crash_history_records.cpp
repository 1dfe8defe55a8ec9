// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of CrashHistory that follows the platform's records of blocked keys.

#include <crosslink/forward/crash_history.h>

namespace crosslink
{

void
CrashHistory::recorded(std::string_view key, TimePoint now)
{
    Key& known = find_or_add(key, now);
    if (!known.recorded_at)
        known.recorded_at = now;
    known.is_record_lost = false;
    known.last_at = std::max(known.last_at, now);
}

void
CrashHistory::record_restored(std::string_view key, TimePoint now)
{
    Key& known = find_or_add(key, now);
    if (!known.recorded_at)
        known.recorded_at = known.answered_at.value_or(now);
    known.last_at = std::max(known.last_at, now);
}

void
CrashHistory::record_lost(std::string_view key)
{
    const auto found = m_keys.find(key);
    if (found != m_keys.end() && found->second.recorded_at)
        found->second.is_record_lost = true;
}

void
CrashHistory::unrecorded(std::string_view key)
{
    const auto found = m_keys.find(key);
    if (found != m_keys.end() && found->second.recorded_at &&
        !found->second.is_record_lost)
        m_keys.erase(found);
}

void
CrashHistory::recorded_only(const std::set<std::string>& keys)
{
    std::erase_if(m_keys, [&keys](const auto& item) {
        return item.second.recorded_at && !item.second.is_record_lost &&
               !keys.contains(item.first);
    });
}

std::vector<std::string>
CrashHistory::to_record(TimePoint now) const
{
    std::vector<std::string> names;
    for (const auto& [name, key] : m_keys) {
        const bool has_record = key.recorded_at && !key.is_record_lost;
        if (!has_record && find(name, now) && key.is_blocked(now))
            names.push_back(name);
    }
    return names;
}

std::vector<std::string>
CrashHistory::to_unrecord() const
{
    std::vector<std::string> names;
    for (const auto& [name, key] : m_keys)
        if (key.recorded_at && (!key.has_valid_record() || key.is_explained()))
            names.push_back(name);
    return names;
}

} // namespace crosslink
