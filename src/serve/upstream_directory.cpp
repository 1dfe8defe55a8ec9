// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "upstream_directory.h"

#include <crosslink/membership/rendezvous.h>

#include <algorithm>

namespace crosslink
{

namespace
{

constexpr Micros first_exclusion = std::chrono::milliseconds(500);
constexpr std::uint32_t max_doublings = 5;

/// Equal lists have the same digest at every instance.
Digest
digest_of(std::span<const ListedInstance> upstreams)
{
    std::string text;
    for (const ListedInstance& one : upstreams) {
        text += one.address + " " + one.zone + " " + one.service + " ";
        text += std::to_string(static_cast<int>(one.kind));
        text += one.leaving ? " leaving\n" : "\n";
    }
    return sha256(text);
}

} // namespace

void
UpstreamDirectory::sync(std::span<const ListedInstance> listed,
                        TimePoint read_at)
{
    m_listed.clear();
    std::copy_if(listed.begin(), listed.end(), std::back_inserter(m_listed),
                 [](const ListedInstance& instance) {
                     return instance.kind != ListedKind::Entry;
                 });
    std::sort(m_listed.begin(), m_listed.end(),
              [](const ListedInstance& one, const ListedInstance& other) {
                  return one.address < other.address;
              });
    m_digest = digest_of(m_listed);
    m_read_at = read_at;
    std::erase_if(m_failure_states, [this](const auto& item) {
        return std::none_of(m_listed.begin(), m_listed.end(),
                            [&item](const ListedInstance& instance) {
                                return instance.address == item.first;
                            });
    });
}

void
UpstreamDirectory::confirm(TimePoint read_at)
{
    m_read_at = std::max(m_read_at, read_at);
}

UpstreamList
UpstreamDirectory::list(TimePoint now) const
{
    return {m_listed, m_digest, now - m_read_at};
}

bool
UpstreamDirectory::usable(const ListedInstance& instance, TimePoint now) const
{
    if (instance.leaving)
        return false;
    const auto found = m_failure_states.find(instance.address);
    return found == m_failure_states.end() ||
           now >= found->second.available_at();
}

std::vector<std::string>
UpstreamDirectory::stores_for(std::string_view key, TimePoint now) const
{
    std::vector<std::string> stores;
    for (const ListedInstance& instance : m_listed)
        if (instance.kind == ListedKind::Store && usable(instance, now))
            stores.push_back(instance.address);
    return rendezvous_order(key, stores);
}

std::vector<std::string>
UpstreamDirectory::plain_for(std::string_view service, std::string_view zone,
                             std::uint64_t random, TimePoint now) const
{
    std::vector<std::string> same_zone;
    std::vector<std::string> other_zones;
    for (const ListedInstance& instance : m_listed) {
        const bool matches =
            instance.kind == ListedKind::Plain && instance.service == service;
        if (!matches || !usable(instance, now))
            continue;
        (instance.zone == zone ? same_zone : other_zones)
            .push_back(instance.address);
    }
    for (auto* part : {&same_zone, &other_zones})
        if (!part->empty())
            std::rotate(part->begin(),
                        part->begin() +
                            static_cast<std::ptrdiff_t>(random % part->size()),
                        part->end());
    same_zone.insert(same_zone.end(), other_zones.begin(), other_zones.end());
    return same_zone;
}

void
UpstreamDirectory::failed(std::string_view address, TimePoint now)
{
    FailureState& state = m_failure_states[std::string(address)];
    const std::uint32_t doublings = std::min(state.failures, max_doublings);
    ++state.failures;
    state.excluded_until = now + first_exclusion * (1U << doublings);
}

void
UpstreamDirectory::succeeded(std::string_view address)
{
    const auto found = m_failure_states.find(address);
    if (found == m_failure_states.end())
        return;
    // The successful call may have been sent before the backoff was asked for.
    const TimePoint backoff_until = found->second.backoff_until;
    found->second = {};
    found->second.backoff_until = backoff_until;
}

void
UpstreamDirectory::backs_off(std::string_view address, TimePoint until)
{
    FailureState& state = m_failure_states[std::string(address)];
    state.backoff_until = std::max(state.backoff_until, until);
}

std::optional<TimePoint>
UpstreamDirectory::plain_free_at(std::string_view service) const
{
    std::optional<TimePoint> earliest;
    for (const ListedInstance& instance : m_listed) {
        const bool matches = instance.kind == ListedKind::Plain &&
                             instance.service == service && !instance.leaving;
        if (!matches)
            continue;
        const auto found = m_failure_states.find(instance.address);
        const TimePoint free = found == m_failure_states.end()
                                   ? TimePoint{}
                                   : found->second.available_at();
        earliest = std::min(earliest.value_or(free), free);
    }
    return earliest;
}

} // namespace crosslink
