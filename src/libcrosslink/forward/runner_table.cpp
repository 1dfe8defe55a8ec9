// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_table.h>

#include <crosslink/membership/rendezvous.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// A runner's load may be above the mean by this part before the next one
/// in the order of affinity is taken. 1.25 is the usual choice of consistent
/// hashing with bounded loads.
constexpr double load_above_mean = 1.25;
/// Calls that a runner may always have, so that small loads spread little.
constexpr double load_always = 2;
/// The load that one prompt token stands for, in calls: a prompt of 4,000
/// tokens that waits to be read weighs as one more call.
constexpr double load_of_token = 1.0 / 4000;
/// Part of a runner's slots that all instances together should fill before
/// another zone or older weights are taken instead.
constexpr double part_of_slots = 0.6;
/// First time for which a failing runner is left alone, and the longest.
constexpr Micros first_hold = std::chrono::milliseconds(500);
constexpr std::uint32_t most_doublings = 4;

double
load_of(const RunnerEntry& entry)
{
    return entry.own_calls +
           load_of_token * static_cast<double>(entry.own_tokens);
}

using Candidates = std::vector<const RunnerEntry*>;

/// Returns the share of `entry`'s slots that this instance may fill.
double
slot_share(const RunnerEntry& entry, const RunnerQuery& query)
{
    const double instances =
        static_cast<double>(std::max<std::size_t>(query.instances, 1));
    return std::max(1.0, part_of_slots * entry.listed.slots / instances);
}

const RunnerEntry*
least_loaded(const Candidates& candidates, const RunnerQuery& query)
{
    const auto start = candidates.empty() ? 0 : query.random % candidates.size();
    const RunnerEntry* best = nullptr;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto* entry = candidates[(start + i) % candidates.size()];
        if (!best || load_of(*entry) < load_of(*best))
            best = entry;
    }
    return best;
}

/// Returns the first of `candidates` in the order of affinity whose load is
/// in bounds; the least loaded one where none is.
const RunnerEntry*
nearest_in_bounds(Candidates candidates, const RunnerQuery& query)
{
    if (query.affinity.empty())
        return least_loaded(candidates, query);
    double sum = 0;
    for (const RunnerEntry* entry : candidates)
        sum += load_of(*entry);
    const double mean = sum / static_cast<double>(candidates.size());
    const double bound = std::max(load_always, load_above_mean * mean + 1);
    const auto weight = [&query](const RunnerEntry* entry) {
        return rendezvous_weight(query.affinity, entry->listed.id);
    };
    const RunnerEntry* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const RunnerEntry* entry : candidates) {
        if (load_of(*entry) >= bound)
            continue;
        const std::uint64_t own = weight(entry);
        if (!best || own > best_weight) {
            best = entry;
            best_weight = own;
        }
    }
    return best ? best : least_loaded(candidates, query);
}

bool
takes_work(const RunnerEntry& entry, const RunnerQuery& query)
{
    return entry.listed.service == query.service && !entry.listed.leaving &&
           query.now >= entry.held_until &&
           !(query.avoid && query.avoid->contains(entry.listed.id)) &&
           (query.model.empty() || entry.version_of(query.model) > 0);
}

bool
has_room(const RunnerEntry& entry, const RunnerQuery& query)
{
    return load_of(entry) < slot_share(entry, query);
}

/// Keeps those of `candidates` that have room and fulfil `wanted`; all of
/// them stay where none does.
template<typename Wanted>
void
prefer(Candidates& candidates, const RunnerQuery& query, const Wanted& wanted)
{
    Candidates kept;
    for (const RunnerEntry* entry : candidates)
        if (wanted(*entry) && has_room(*entry, query))
            kept.push_back(entry);
    if (!kept.empty())
        candidates = std::move(kept);
}

} // namespace

std::uint64_t
RunnerEntry::version_of(std::string_view model) const
{
    for (const LoadedModel& loaded : listed.models)
        if (loaded.model == model)
            return loaded.version;
    return 0;
}

void
RunnerTable::sync(std::span<const ListedRunner> listed)
{
    std::set<std::string_view> ids;
    for (const ListedRunner& runner : listed) {
        ids.insert(runner.id);
        put(runner);
    }
    std::erase_if(m_entries, [&ids](const auto& item) {
        return !ids.contains(item.first);
    });
}

void
RunnerTable::put(const ListedRunner& listed)
{
    RunnerEntry& entry = m_entries[listed.id];
    const std::vector<LoadedModel> known = std::move(entry.listed.models);
    entry.listed = listed;
    // The list lags behind what the runner's own answers told.
    for (LoadedModel& model : entry.listed.models)
        for (const LoadedModel& before : known)
            if (before.model == model.model)
                model.version = std::max(model.version, before.version);
}

void
RunnerTable::remove(std::string_view id)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        m_entries.erase(found);
}

std::optional<RunnerPick>
RunnerTable::choose(const RunnerQuery& query) const
{
    Candidates candidates;
    for (const auto& [id, entry] : m_entries)
        if (takes_work(entry, query))
            candidates.push_back(&entry);
    if (candidates.empty())
        return std::nullopt;
    if (query.newest_version > 0)
        prefer(candidates, query, [&query](const RunnerEntry& entry) {
            return entry.version_of(query.model) >= query.newest_version;
        });
    prefer(candidates, query, [&query](const RunnerEntry& entry) {
        return entry.listed.zone == query.zone;
    });
    const RunnerEntry* chosen = nearest_in_bounds(std::move(candidates), query);
    return RunnerPick{chosen->listed.id, chosen->listed.address,
                      chosen->version_of(query.model)};
}

void
RunnerTable::sent(std::string_view id, std::uint64_t tokens)
{
    if (RunnerEntry* entry = find(id)) {
        ++entry->own_calls;
        entry->own_tokens += tokens;
    }
}

void
RunnerTable::prompt_read(std::string_view id, std::uint64_t tokens)
{
    if (RunnerEntry* entry = find(id))
        entry->own_tokens -= std::min(entry->own_tokens, tokens);
}

void
RunnerTable::ended(std::string_view id)
{
    if (RunnerEntry* entry = find(id); entry && entry->own_calls > 0)
        --entry->own_calls;
}

void
RunnerTable::refused(std::string_view id, TimePoint now, Micros hold)
{
    if (RunnerEntry* entry = find(id))
        entry->held_until = std::max(entry->held_until, now + hold);
}

void
RunnerTable::failed(std::string_view id, TimePoint now)
{
    RunnerEntry* entry = find(id);
    if (!entry)
        return;
    const Micros hold =
        first_hold * (1 << std::min(entry->failures, most_doublings));
    ++entry->failures;
    entry->held_until = std::max(entry->held_until, now + hold);
}

void
RunnerTable::succeeded(std::string_view id)
{
    if (RunnerEntry* entry = find(id); entry && entry->failures > 0)
        --entry->failures;
}

void
RunnerTable::has_version(std::string_view id, std::string_view model,
                         std::uint64_t version)
{
    RunnerEntry* entry = find(id);
    if (!entry)
        return;
    for (LoadedModel& loaded : entry->listed.models)
        if (loaded.model == model)
            loaded.version = version;
}

RunnerEntry*
RunnerTable::find(std::string_view id)
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

} // namespace crosslink
