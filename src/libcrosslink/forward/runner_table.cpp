// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_table.h>

#include <crosslink/membership/rendezvous.h>

#include <algorithm>
#include <random>

namespace crosslink
{

namespace
{

// The price of a runner is the time, in milliseconds, by which a call is
// expected to be answered later there than at an idle runner that is best for
// it in all else. The figures below are in that unit.

/// Prompt tokens that a runner reads in a millisecond; engines of today read
/// 40 to 60.
constexpr double tokens_per_ms = 50;
/// What a runner that works on as many calls as it has slots adds.
constexpr double full_slots_ms = 100;
/// Where the others' load is not known: each instance sends mostly to the
/// runners of its zone, so the load there is about that of the instances of
/// one zone; zones are taken as three, the least that the fleet runs in.
constexpr double zones = 3;
/// The others' load is used for so long after it was told.
constexpr Micros told_holds = std::chrono::milliseconds(1200);
/// Weights that were replaced: a call that begins on them loses a fifth of
/// its worth, a late one most of it (docs/MEASUREMENTS.md).
constexpr double old_weights_ms = 50;
/// Another zone: two milliseconds on the way, and bytes between zones, which
/// are dear. The runners of the own zone should be well filled first.
constexpr double other_zone_ms = 60;
/// The runner that calls with the same shared parts prefer: it may still
/// have them in memory, which saves a fetch.
constexpr double affinity_ms = 20;

/// A fetch from another zone takes twice as long, and so long the store serves
/// nobody else: stores are what runs short first (docs/MEASUREMENTS.md).
constexpr double far_fetch_price = 3.5;

/// Part of the time for reading the call's prompt by which prices are spread at
/// random, so that instances do not all choose the same runner.
constexpr double crowd_part = 0.6;
/// A zone one of whose runners says nothing: a call that is sent there waits
/// 400 ms for a connection, or seconds for an answer.
constexpr double silent_zone_ms = 400;
/// It is passed over for so long after each such call.
constexpr Micros silent_hold = std::chrono::milliseconds(2500);
/// Runners whose prices differ by less are alike.
constexpr double tie_ms = 1;

/// First time for which a failing runner is left alone, and the longest.
constexpr Micros first_hold = std::chrono::milliseconds(500);
constexpr std::uint32_t most_doublings = 4;

using Candidates = std::vector<const RunnerEntry*>;

constexpr double millis_per_second = 1000;

Micros
from_millis(double millis)
{
    return from_seconds(millis / millis_per_second);
}

double
to_millis(Micros span)
{
    return seconds(span) * millis_per_second;
}

double
load_ms(const RunnerLoad& load, const RunnerEntry& entry)
{
    const double slots = std::max<double>(entry.listed.slots, 1);
    return static_cast<double>(load.tokens) / tokens_per_ms +
           full_slots_ms * load.calls / slots;
}

/// Returns the load of `entry` as far as it is known.
double
known_load_ms(const RunnerEntry& entry, const RunnerQuery& query,
              bool others_known)
{
    const double own = load_ms(entry.own, entry);
    const double alike =
        std::max(1.0, static_cast<double>(query.instances) / zones);
    if (!others_known)
        return own * alike;
    // What this instance sent since the others told their load, they have
    // sent too: they choose by the same picture.
    return own + load_ms(entry.others, entry) +
           load_ms(entry.untold, entry) * (alike - 1);
}

double
price_ms(const RunnerEntry& entry, const RunnerQuery& query, bool others_known)
{
    double price = known_load_ms(entry, query, others_known);
    if (!query.model.empty() &&
        entry.version_of(query.model) < query.newest_version)
        price += old_weights_ms;
    if (entry.listed.zone != query.zone)
        price += other_zone_ms;
    if (!query.kept.zone.empty() && entry.listed.zone != query.kept.zone)
        price += far_fetch_price * to_millis(query.kept.fetch_time);
    return price;
}

/// Returns the candidate that calls with the same affinity prefer.
const RunnerEntry*
preferred_by_affinity(const Candidates& candidates, const RunnerQuery& query)
{
    const RunnerEntry* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const RunnerEntry* entry : candidates) {
        const std::uint64_t weight =
            rendezvous_weight(query.affinity, entry->listed.id);
        if (!best || weight > best_weight) {
            best = entry;
            best_weight = weight;
        }
    }
    return best;
}

bool
takes_work(const RunnerEntry& entry, const RunnerQuery& query)
{
    return entry.listed.service == query.service && !entry.listed.leaving &&
           query.now >= entry.held_until &&
           !(entry.gone_at && query.now >= *entry.gone_at) &&
           !(query.avoid && query.avoid->contains(entry.listed.id)) &&
           (query.model.empty() || entry.version_of(query.model) > 0);
}

/// Drops runners whose weights must have given way. Where that would leave
/// less than half of them, the rollout has not been possible, and serving on
/// replaced weights is better than not serving.
void
drop_forbidden(Candidates& candidates, const RunnerQuery& query)
{
    const auto allowed = [&query](const RunnerEntry* entry) {
        return entry->version_of(query.model) >= query.least_version;
    };
    const auto count =
        std::count_if(candidates.begin(), candidates.end(), allowed);
    if (2 * static_cast<std::size_t>(count) < candidates.size())
        return;
    std::erase_if(candidates, [&allowed](const RunnerEntry* entry) {
        return !allowed(entry);
    });
}

} // namespace

Micros
reading_time(std::uint64_t tokens)
{
    return from_millis(static_cast<double>(tokens) / tokens_per_ms);
}

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
RunnerTable::sync_lapsed(std::span<const ListedRunner> listed,
                         TimePoint gone_at)
{
    std::set<std::string_view> ids;
    for (const ListedRunner& runner : listed) {
        ids.insert(runner.id);
        put(runner);
    }
    for (const auto& [id, entry] : m_entries)
        if (!ids.contains(id))
            lapsed(id, gone_at);
}

void
RunnerTable::lapsed(std::string_view id, TimePoint gone_at)
{
    if (RunnerEntry* entry = find(id); entry && !entry->gone_at)
        entry->gone_at = gone_at;
}

void
RunnerTable::expire(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto& item) {
        return item.second.gone_at && now >= *item.second.gone_at;
    });
}

void
RunnerTable::put(const ListedRunner& listed)
{
    RunnerEntry& entry = m_entries[listed.id];
    entry.gone_at.reset();
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

const RunnerEntry*
RunnerTable::cheapest(const Candidates& candidates, const RunnerQuery& query,
                      bool others_known) const
{
    const RunnerEntry* preferred =
        query.affinity.empty() ? nullptr
                               : preferred_by_affinity(candidates, query);
    // All instances see one runner that became idle at the same time, so that
    // each of them passes over it now and then.
    const double spread = crowd_part * to_millis(reading_time(query.tokens));
    std::minstd_rand generator(
        static_cast<std::minstd_rand::result_type>(query.random));
    std::uniform_real_distribution<double> extra(0, spread + tie_ms);
    const RunnerEntry* best = nullptr;
    double best_price = 0;
    for (const RunnerEntry* entry : candidates) {
        double price = price_ms(*entry, query, others_known) + extra(generator);
        if (entry == preferred)
            price -= affinity_ms;
        if (is_silent(entry->listed.zone, query.now))
            price += silent_zone_ms;
        if (!best || price < best_price) {
            best = entry;
            best_price = price;
        }
    }
    return best;
}

std::optional<RunnerPick>
RunnerTable::choose(const RunnerQuery& query) const
{
    Candidates candidates;
    for (const auto& [id, entry] : m_entries)
        if (takes_work(entry, query))
            candidates.push_back(&entry);
    drop_forbidden(candidates, query);
    if (candidates.empty())
        return std::nullopt;
    const bool others_known =
        m_others_known && query.now - m_others_at < told_holds;
    const RunnerEntry* chosen = cheapest(candidates, query, others_known);
    const double wait_ms = known_load_ms(*chosen, query, others_known);
    return RunnerPick{chosen->listed.id, chosen->listed.address,
                      chosen->version_of(query.model), from_millis(wait_ms)};
}

void
RunnerTable::sent(std::string_view id, std::uint64_t tokens)
{
    if (RunnerEntry* entry = find(id)) {
        entry->own.add(tokens);
        entry->untold.add(tokens);
    }
}

void
RunnerTable::prompt_read(std::string_view id, std::uint64_t tokens)
{
    if (RunnerEntry* entry = find(id))
        entry->own.tokens -= std::min(entry->own.tokens, tokens);
}

void
RunnerTable::ended(std::string_view id)
{
    if (RunnerEntry* entry = find(id); entry && entry->own.calls > 0)
        --entry->own.calls;
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
    RunnerEntry* entry = find(id);
    if (!entry)
        return;
    if (entry->failures > 0)
        --entry->failures;
    m_silent_zones.erase(entry->listed.zone);
}

void
RunnerTable::silent(std::string_view id, TimePoint now)
{
    if (const RunnerEntry* entry = find(id))
        m_silent_zones[entry->listed.zone] = now + silent_hold;
}

bool
RunnerTable::is_silent(std::string_view zone, TimePoint now) const
{
    const auto found = m_silent_zones.find(zone);
    return found != m_silent_zones.end() && now < found->second;
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

bool
RunnerTable::most_have(std::string_view service, std::string_view model,
                       std::uint64_t version) const
{
    std::size_t all = 0;
    std::size_t have = 0;
    for (const auto& [id, entry] : m_entries) {
        const std::uint64_t has = entry.version_of(model);
        if (entry.listed.service != service || has == 0)
            continue;
        ++all;
        have += has >= version ? 1 : 0;
    }
    return 2 * have >= all;
}

std::map<std::string, RunnerLoad>
RunnerTable::own_load() const
{
    std::map<std::string, RunnerLoad> load;
    for (const auto& [id, entry] : m_entries)
        if (entry.own.calls > 0)
            load[id] = entry.own;
    return load;
}

void
RunnerTable::others_told(const std::map<std::string, RunnerLoad>& load,
                         TimePoint now)
{
    m_others_at = now;
    m_others_known = true;
    for (auto& [id, entry] : m_entries) {
        const auto found = load.find(id);
        entry.others = found == load.end() ? RunnerLoad{} : found->second;
        entry.untold = {};
    }
}

RunnerEntry*
RunnerTable::find(std::string_view id)
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

} // namespace crosslink
