// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/invariants.h>
#include <crosslink/route/engine_table.h>

#include <algorithm>

namespace crosslink
{

namespace
{

constexpr Micros leaving_mark_time = std::chrono::seconds(30);
constexpr Micros first_ejection = std::chrono::milliseconds(500);
constexpr std::uint32_t max_doublings = 5;
/// Maximum number of keys in the cache indexes of all engines together, about
/// 80 bytes each; the more engines there are, the fewer are kept of each.
constexpr std::size_t max_index_keys = 131'072;

bool
holds(const ResidentModel& resident, std::string_view model,
      std::string_view version, std::string_view adapter)
{
    if (resident.model != model || resident.version != version)
        return false;
    return adapter.empty() ||
           std::find(resident.adapters.begin(), resident.adapters.end(),
                     adapter) != resident.adapters.end();
}

/// Removes the tokens of a run whose prompt no longer waits.
void
remove_tokens(EngineEntry& entry, std::string_view run_id)
{
    const auto found = entry.own_tokens_by_run.find(run_id);
    if (found != entry.own_tokens_by_run.end())
        entry.own_tokens_by_run.erase(found);
}

} // namespace

bool
EngineEntry::takes_work(TimePoint now) const
{
    return reported && !load.leaving && now >= leaving_until &&
           now >= ejected_until;
}

std::uint64_t
EngineEntry::own_waiting_tokens() const
{
    std::uint64_t sum = 0;
    for (const auto& [run_id, tokens] : own_tokens_by_run)
        sum += tokens;
    return sum;
}

bool
EngineEntry::has(std::string_view model, std::string_view version,
                 std::string_view adapter) const
{
    return std::any_of(load.resident.begin(), load.resident.end(),
                       [&](const ResidentModel& resident) {
                           return holds(resident, model, version, adapter);
                       });
}

EngineEntry*
EngineTable::find(std::string_view address)
{
    const auto found = m_entries.find(address);
    return found == m_entries.end() ? nullptr : &found->second;
}

void
EngineTable::sync(std::span<const ListedEngine> listed, TimePoint now)
{
    for (const ListedEngine& engine : listed) {
        EngineEntry& entry = m_entries[engine.address];
        entry.address = engine.address;
        entry.zone = engine.zone;
        if (engine.leaving)
            mark_leaving(engine.address, now + leaving_mark_time);
    }
    std::erase_if(m_entries, [&listed](const auto& item) {
        return std::none_of(listed.begin(), listed.end(),
                            [&item](const ListedEngine& engine) {
                                return engine.address == item.first;
                            });
    });
    if (m_entries.empty())
        return;
    const std::size_t share = max_index_keys / m_entries.size();
    for (auto& [address, entry] : m_entries)
        entry.cache.set_capacity(share);
}

void
EngineTable::update_load(std::string_view address, const EngineLoad& load,
                         TimePoint now)
{
    EngineEntry* entry = find(address);
    if (!entry)
        return;
    if (entry->load.engine_id != load.engine_id)
        entry->cache.clear();
    entry->load = load;
    entry->reported = true;
    entry->reported_at = now;
}

void
EngineTable::lost(std::string_view address)
{
    if (EngineEntry* entry = find(address))
        entry->reported = false;
}

void
EngineTable::mark_leaving(std::string_view address, TimePoint until)
{
    if (EngineEntry* entry = find(address))
        entry->leaving_until = std::max(entry->leaving_until, until);
}

std::vector<std::pair<std::string, Micros>>
EngineTable::marks(TimePoint now) const
{
    std::vector<std::pair<std::string, Micros>> result;
    for (const auto& [address, engine] : m_entries)
        if (now < engine.leaving_until)
            result.emplace_back(address, engine.leaving_until - now);
    return result;
}

void
EngineTable::sent(std::string_view address, std::string_view run_id,
                  std::uint64_t tokens, TimePoint now)
{
    if (EngineEntry* entry = find(address)) {
        check_invariant(Invariant::LeavingGetsNoWork,
                        now >= entry->leaving_until);
        entry->own_tokens_by_run.emplace(std::string(run_id), tokens);
        ++entry->own_running;
    }
}

void
EngineTable::computed(std::string_view address, std::string_view run_id,
                      std::span<const Digest> keys)
{
    EngineEntry* entry = find(address);
    if (!entry)
        return;
    remove_tokens(*entry, run_id);
    entry->cache.expect(keys);
}

void
EngineTable::ended(std::string_view address, std::string_view run_id)
{
    EngineEntry* entry = find(address);
    if (!entry)
        return;
    remove_tokens(*entry, run_id);
    if (entry->own_running > 0)
        --entry->own_running;
}

void
EngineTable::failed(std::string_view address, TimePoint now)
{
    EngineEntry* entry = find(address);
    if (!entry)
        return;
    const std::uint32_t doublings = std::min(entry->failures, max_doublings);
    ++entry->failures;
    entry->ejected_until = now + first_ejection * (1U << doublings);
}

void
EngineTable::succeeded(std::string_view address)
{
    if (EngineEntry* entry = find(address)) {
        entry->failures = 0;
        entry->ejected_until = {};
    }
}

} // namespace crosslink
