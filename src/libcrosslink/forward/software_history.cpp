// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/software_history.h>

#include <crosslink/base/digest.h>
#include <crosslink/forward/stream_origins.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Characters of the id of a record.
constexpr std::size_t id_length = 32;

bool
is_recent(TimePoint at, TimePoint now)
{
    return now < at + StreamOrigins::lifetime;
}

} // namespace

std::string
ServedSoftware::record_id() const
{
    // Services and versions may have names of any length and letters.
    return sha256(service + '\n' + software).hex().substr(0, id_length);
}

void
SoftwareHistory::observe(const SoftwareCounts& listed, TimePoint now)
{
    for (const auto& [service, versions] : listed)
        for (const auto& [software, count] : versions)
            m_listed_at[service][software] = now;
    for (auto& [service, versions] : m_listed_at)
        std::erase_if(versions, [now](const auto& item) {
            return !is_recent(item.second, now);
        });
    std::erase_if(m_listed_at,
                  [](const auto& item) { return item.second.empty(); });
}

void
SoftwareHistory::recorded(const ServedSoftware& served, TimePoint now)
{
    m_records[served.record_id()] = {served, now, false};
}

void
SoftwareHistory::unrecorded(const std::string& id)
{
    m_records.erase(id);
}

void
SoftwareHistory::record_lost(const std::string& id)
{
    const auto found = m_records.find(id);
    if (found != m_records.end())
        found->second.is_lost = true;
}

void
SoftwareHistory::recorded_only(const std::set<std::string>& ids)
{
    std::erase_if(m_records, [&ids](const auto& item) {
        return !ids.contains(item.first);
    });
}

std::set<std::string_view>
SoftwareHistory::versions(std::string_view service, TimePoint now) const
{
    std::set<std::string_view> versions;
    for (const auto& [id, record] : m_records)
        if (record.served.service == service)
            versions.insert(record.served.software);
    const auto found = m_listed_at.find(service);
    if (found != m_listed_at.end())
        for (const auto& [software, at] : found->second)
            if (is_recent(at, now))
                versions.insert(software);
    return versions;
}

bool
SoftwareHistory::several(std::string_view service, TimePoint now) const
{
    return versions(service, now).size() > 1;
}

std::optional<std::string>
SoftwareHistory::only(std::string_view service, TimePoint now) const
{
    const std::set<std::string_view> known = versions(service, now);
    if (known.size() != 1)
        return std::nullopt;
    return std::string(*known.begin());
}

std::set<std::string, std::less<>>
SoftwareHistory::mixed(TimePoint now) const
{
    std::set<std::string, std::less<>> services;
    for (const auto& [service, versions] : m_listed_at)
        services.insert(service);
    for (const auto& [id, record] : m_records)
        services.insert(record.served.service);
    std::erase_if(services, [this, now](const std::string& service) {
        return !several(service, now);
    });
    return services;
}

bool
SoftwareHistory::was_listed(const ServedSoftware& served, TimePoint now) const
{
    const auto versions = m_listed_at.find(served.service);
    if (versions == m_listed_at.end())
        return false;
    const auto found = versions->second.find(served.software);
    return found != versions->second.end() && is_recent(found->second, now);
}

std::vector<ServedSoftware>
SoftwareHistory::to_record(TimePoint now) const
{
    std::vector<ServedSoftware> result;
    for (const auto& [id, record] : m_records)
        if (record.is_lost)
            result.push_back(record.served);
    for (const auto& [service, versions] : m_listed_at)
        for (const auto& [software, at] : versions) {
            const ServedSoftware served{service, software};
            if (is_recent(at, now) && !m_records.contains(served.record_id()))
                result.push_back(served);
        }
    return result;
}

std::vector<std::string>
SoftwareHistory::to_unrecord(TimePoint now) const
{
    std::vector<std::string> result;
    for (const auto& [id, record] : m_records)
        if (!is_recent(record.learned_at, now) &&
            !was_listed(record.served, now))
            result.push_back(id);
    return result;
}

} // namespace crosslink
