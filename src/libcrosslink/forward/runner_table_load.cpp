// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of RunnerTable that counts calls and their load.

#include <crosslink/forward/runner_table.h>

#include <crosslink/forward/rate_share.h>

#include <algorithm>
#include <utility>

namespace crosslink
{

void
RunnerTable::reserve(const RunnerIncarnation& runner)
{
    if (RunnerEntry* entry = find(runner))
        ++entry->reserved;
}

void
RunnerTable::release(const RunnerIncarnation& runner)
{
    RunnerEntry* entry = find(runner);
    if (entry && entry->reserved > 0)
        --entry->reserved;
}

void
RunnerTable::sent(const RunnerIncarnation& runner, std::uint64_t tokens,
                  std::uint64_t resident, TimePoint now)
{
    release(runner);
    if (RunnerEntry* entry = find(runner)) {
        record_send(*entry, now);
        add_own(*entry, tokens, resident);
    }
}

/// Adds a call to the load of this instance.
void
RunnerTable::add_own(RunnerEntry& entry, std::uint64_t tokens,
                     std::uint64_t resident)
{
    entry.own.add(tokens, resident);
    entry.unreported_load.add(tokens, resident);
    m_index.busy.emplace(entry.listed.id);
    m_index.loaded.emplace(entry.listed.id);
}

/// Records a send. How it counts depends on the limit of its runner.
void
RunnerTable::record_send(RunnerEntry& entry, TimePoint now) const
{
    if (!entry.notices.limit.in_force()) {
        entry.sends.sent(now);
        return;
    }
    const RateShare share =
        advertised_limit_share(entry.notices.limit.per_second(),
                               m_members.count(entry.listed.zone, now));
    if (share.calls == 1)
        entry.sends.sent_in_turn(share.window, now);
    else
        entry.sends.sent(now);
}

void
RunnerTable::prompt_read(const RunnerIncarnation& runner, std::uint64_t tokens)
{
    if (RunnerEntry* entry = find(runner))
        entry->own.tokens -= std::min(entry->own.tokens, tokens);
}

void
RunnerTable::ended(const RunnerIncarnation& runner, std::uint64_t resident)
{
    RunnerEntry* entry = find(runner);
    if (!entry || entry->own.calls == 0)
        return;
    --entry->own.calls;
    entry->own.resident -= std::min(entry->own.resident, resident);
    if (entry->own.calls == 0)
        m_index.busy.erase(entry->listed.id);
}

void
RunnerTable::ran(std::string_view id, std::uint64_t resident, Micros span)
{
    if (const RunnerEntry* entry = find(id))
        m_holding_times[entry->listed.service].add(resident, span);
}

std::map<std::string, RunnerLoad>
RunnerTable::own_load() const
{
    std::map<std::string, RunnerLoad> load;
    for (const std::string& id : m_index.busy) {
        const RunnerEntry* entry = visit(id);
        if (entry && entry->own.calls > 0)
            load[id] = entry->own;
    }
    return load;
}

void
RunnerTable::set_remote_load(const std::map<std::string, RunnerLoad>& load,
                             TimePoint as_of, std::string_view known_zone)
{
    m_others_at = as_of;
    m_others_known = true;
    m_known_zone = known_zone;
    const RunnerIndex::Ids before = std::exchange(m_index.loaded, {});
    for (const std::string& id : before) {
        ++m_visited;
        RunnerEntry* entry = find(id);
        if (!entry)
            continue;
        entry->others = {};
        entry->unreported_load = {};
    }
    for (const auto& [id, item] : load) {
        ++m_visited;
        RunnerEntry* entry = find(id);
        if (!entry)
            continue;
        entry->others = item;
        m_index.loaded.insert(id);
    }
}

void
RunnerTable::keep_zone(std::map<std::string, RunnerLoad>& load,
                       std::string_view zone) const
{
    std::erase_if(load, [&](const auto& item) {
        const RunnerEntry* entry = visit(item.first);
        return !entry || entry->listed.zone != zone;
    });
}

} // namespace crosslink
