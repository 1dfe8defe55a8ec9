// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_table.h>

#include <crosslink/forward/runner_price.h>
#include <crosslink/membership/rendezvous.h>

#include <algorithm>
#include <random>

namespace crosslink
{

namespace
{

/// The others' load is used for so long after it was told.
constexpr Micros told_holds = std::chrono::milliseconds(1200);
/// A zone is passed over for so long after a runner there said nothing.
constexpr Micros silent_hold = std::chrono::milliseconds(2500);
/// First time for which a failing runner is left alone, and the longest.
constexpr Micros first_hold = std::chrono::milliseconds(500);
constexpr std::uint32_t most_doublings = 4;

using Candidates = std::vector<const RunnerEntry*>;

/// Least number of runners to choose from.
constexpr std::size_t least_choice = 2;

/// Leaves a random part of the candidates where many instances choose by the
/// same picture. Else all of them fill the same few runners that had room: on a
/// fleet of 82 instances and 60 runners one runner got 35 calls in 0.6 s, and
/// then none for 3 s; of the calls 0.59 were served, and 0.87 with this.
void
sample(Candidates& candidates, const RunnerQuery& query)
{
    const std::size_t count =
        std::max(least_choice, most_choosers * candidates.size() /
                                   std::max<std::size_t>(query.instances, 1));
    if (count >= candidates.size())
        return;
    std::mt19937_64 generator(query.random);
    std::shuffle(candidates.begin(), candidates.end(), generator);
    candidates.resize(count);
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

/// Returns whether a call may begin on the weights of `entry`. However few
/// runners have them, replaced weights get no calls past their bound: that
/// would make a broken promise of each rollout that is late. Of 36 rollouts
/// that overlapped, five were late for half of the runners and broke it.
bool
has_weights(const RunnerEntry& entry, const RunnerQuery& query)
{
    const std::uint64_t version = entry.version_of(query.model);
    return version > 0 && version >= query.least_version;
}

/// Returns whether `entry` takes work now, or once it is not held any more.
bool
may_take_work(const RunnerEntry& entry, const RunnerQuery& query)
{
    return entry.listed.service == query.service && !entry.listed.leaving &&
           !(entry.gone_at && query.now >= *entry.gone_at) &&
           !(query.avoid && query.avoid->contains(entry.listed.id)) &&
           (query.model.empty() || has_weights(entry, query));
}

bool
takes_work(const RunnerEntry& entry, const RunnerQuery& query)
{
    return may_take_work(entry, query) && query.now >= entry.held_until;
}

void
erase_model(std::vector<LoadedModel>& models, std::string_view model)
{
    std::erase_if(models, [model](const LoadedModel& loaded) {
        return loaded.model == model;
    });
}

} // namespace

void
RunnerTable::sync(std::span<const ListedRunner> listed)
{
    const std::set<std::string_view> ids = put_all(listed);
    std::erase_if(m_entries, [&ids](const auto& item) {
        return !ids.contains(item.first);
    });
}

void
RunnerTable::sync_lapsed(std::span<const ListedRunner> listed,
                         TimePoint gone_at)
{
    const std::set<std::string_view> ids = put_all(listed);
    for (const auto& [id, entry] : m_entries)
        if (!ids.contains(id))
            lapsed(id, gone_at);
}

/// Takes over all entries of the list, and returns their ids.
std::set<std::string_view>
RunnerTable::put_all(std::span<const ListedRunner> listed)
{
    std::set<std::string_view> ids;
    for (const ListedRunner& runner : listed) {
        ids.insert(runner.id);
        put(runner);
    }
    return ids;
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
    entry.listed = listed;
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
                      const FleetLoad& fleet) const
{
    const RunnerEntry* preferred =
        query.affinity.empty() ? nullptr
                               : preferred_by_affinity(candidates, query);
    // All instances see one runner that became idle at the same time, so that
    // each of them passes over it now and then.
    std::minstd_rand generator(
        static_cast<std::minstd_rand::result_type>(query.random));
    std::uniform_real_distribution<double> extra(0, spread_ms(query));
    const RunnerEntry* best = nullptr;
    double best_price = 0;
    for (const RunnerEntry* entry : candidates) {
        double price = price_ms(*entry, query, fleet) + extra(generator);
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
    if (candidates.empty())
        return std::nullopt;
    const FleetLoad fleet = fleet_load(query);
    sample(candidates, query);
    const RunnerEntry* chosen = cheapest(candidates, query, fleet);
    return RunnerPick{chosen->listed.id, chosen->listed.address,
                      chosen->version_of(query.model),
                      expected_wait(*chosen, query, fleet)};
}

std::optional<TimePoint>
RunnerTable::next_chance(const RunnerQuery& query) const
{
    std::optional<TimePoint> earliest;
    for (const auto& [id, entry] : m_entries)
        if (may_take_work(entry, query) &&
            (!earliest || entry.held_until < *earliest))
            earliest = entry.held_until;
    return earliest;
}

void
RunnerTable::sent(std::string_view id, std::uint64_t tokens,
                  std::uint64_t resident)
{
    if (RunnerEntry* entry = find(id)) {
        entry->own.add(tokens, resident);
        entry->untold.add(tokens, resident);
    }
}

void
RunnerTable::prompt_read(std::string_view id, std::uint64_t tokens)
{
    if (RunnerEntry* entry = find(id))
        entry->own.tokens -= std::min(entry->own.tokens, tokens);
}

void
RunnerTable::ended(std::string_view id, std::uint64_t resident)
{
    RunnerEntry* entry = find(id);
    if (!entry || entry->own.calls == 0)
        return;
    --entry->own.calls;
    entry->own.resident -= std::min(entry->own.resident, resident);
}

void
RunnerTable::ran(std::string_view id, std::uint64_t resident, Micros span)
{
    if (const RunnerEntry* entry = find(id))
        m_holding[entry->listed.service].add(resident, span);
}

/// Returns what is known of the load of all runners of the service.
FleetLoad
RunnerTable::fleet_load(const RunnerQuery& query) const
{
    FleetLoad fleet;
    fleet.others_known = m_others_known && query.now - m_others_at < told_holds;
    fleet.others_age = std::max(
        std::chrono::duration_cast<Micros>(query.now - m_others_at), Micros{0});
    fleet.holding_time = holding_time(query.service);
    return fleet;
}

/// Returns how long calls of a service take their memory.
Micros
RunnerTable::holding_time(std::string_view service) const
{
    const auto found = m_holding.find(service);
    return found == m_holding.end() ? HoldingTime().mean()
                                    : found->second.mean();
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

bool
RunnerTable::has_version(std::string_view id, std::string_view model,
                         std::uint64_t version)
{
    RunnerEntry* entry = find(id);
    const std::uint64_t known = entry ? entry->version_of(model) : 0;
    if (known == 0 || known >= version)
        return false;
    erase_model(entry->told, model);
    entry->told.push_back({std::string(model), version});
    return true;
}

void
RunnerTable::lacks_version(std::string_view id, std::string_view model,
                           std::uint64_t version)
{
    RunnerEntry* entry = find(id);
    if (entry && entry->version_of(model) == version)
        erase_model(entry->told, model);
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
                         TimePoint as_of)
{
    m_others_at = as_of;
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
