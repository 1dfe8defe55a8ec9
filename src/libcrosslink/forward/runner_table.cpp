// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_table.h>

#include <crosslink/forward/runner_price.h>
#include <crosslink/forward/warm_up_limit.h>
#include <crosslink/membership/rendezvous.h>

#include <algorithm>
#include <random>
#include <utility>

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
/// Two instances may hear of a third one's end so far apart (0.4 s from the
/// platform, 0.15 s for each of two exchanges), with the second over which
/// calls to a cold runner are counted.
constexpr Micros settling_time = std::chrono::milliseconds(2000);
/// A reserved call is sent, or given up, in about this time.
constexpr Micros reserved_time = std::chrono::milliseconds(20);
/// A runner whose contact was lost may be down for a second or two, and tells
/// its new start up to 1.2 s late; beyond its time to warm up.
constexpr Micros restart_time = std::chrono::milliseconds(1500);

using Candidates = std::vector<const RunnerEntry*>;

/// Least number of runners to choose from.
constexpr std::size_t least_choice = 2;

/// Leaves a random part of `candidates`, among which `instances` choose.
void
sample_part(Candidates& candidates, std::size_t instances,
            std::mt19937_64& generator)
{
    const std::size_t count =
        std::max(least_choice, most_choosers * candidates.size() / instances);
    if (count >= candidates.size())
        return;
    std::shuffle(candidates.begin(), candidates.end(), generator);
    candidates.resize(count);
}

/// Leaves a random part of the candidates of each zone, as if its instances
/// alone chose there.
Candidates
sample_zones(const Candidates& candidates, std::size_t instances,
             std::mt19937_64& generator)
{
    std::map<std::string_view, Candidates> zones;
    for (const RunnerEntry* entry : candidates)
        zones[entry->listed.zone].push_back(entry);
    const std::size_t of_zone =
        std::max<std::size_t>(instances / zones.size(), 1);
    Candidates sampled;
    for (auto& [zone, part] : zones) {
        sample_part(part, of_zone, generator);
        sampled.insert(sampled.end(), part.begin(), part.end());
    }
    return sampled;
}

/// Leaves a random part of the candidates where many instances choose by the
/// same picture. Else all of them fill the same few runners that had room: on a
/// fleet of 82 instances and 60 runners one runner got 35 calls in 0.6 s, and
/// then none for 3 s; of the calls 0.59 were served, and 0.87 with this. Of a
/// part of all zones together, a third of the calls found no runner of their
/// own zone at 71 instances, and went to another one. Zones that are so small
/// that none of their runners would be left out are taken together.
void
sample(Candidates& candidates, const RunnerQuery& query)
{
    const std::size_t instances = std::max<std::size_t>(query.instances, 1);
    std::mt19937_64 generator(query.random);
    Candidates sampled = sample_zones(candidates, instances, generator);
    if (sampled.size() < candidates.size())
        candidates = std::move(sampled);
    else
        sample_part(candidates, instances, generator);
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

void
erase_model(std::vector<LoadedModel>& models, std::string_view model)
{
    std::erase_if(models, [model](const LoadedModel& loaded) {
        return loaded.model == model;
    });
}

} // namespace

RunnerTable::RunnerTable() : m_members(settling_time)
{
}

void
RunnerTable::sync(std::span<const ListedRunner> listed, TimePoint now)
{
    const std::set<std::string_view> ids = put_all(listed, now);
    std::erase_if(m_entries, [&ids](const auto& item) {
        return !ids.contains(item.first);
    });
}

void
RunnerTable::sync_lapsed(std::span<const ListedRunner> listed,
                         TimePoint gone_at, TimePoint now)
{
    const std::set<std::string_view> ids = put_all(listed, now);
    for (const auto& [id, entry] : m_entries)
        if (!ids.contains(id))
            lapsed(id, gone_at);
}

/// Takes over all entries of the list, and returns their ids.
std::set<std::string_view>
RunnerTable::put_all(std::span<const ListedRunner> listed, TimePoint now)
{
    std::set<std::string_view> ids;
    for (const ListedRunner& runner : listed) {
        ids.insert(runner.id);
        put(runner, now);
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

bool
RunnerTable::put(const ListedRunner& listed, TimePoint now)
{
    const auto [found, is_new] = m_entries.try_emplace(listed.id);
    RunnerEntry& entry = found->second;
    if (!is_new && listed.born < entry.listed.born)
        return false;
    const bool starts_anew = !is_new && listed.born > entry.listed.born;
    if (starts_anew) {
        // What was sent a moment ago counts at the new one too.
        const SendWindow sends = entry.sends;
        entry = {};
        entry.sends = sends;
    }
    entry.gone_at.reset();
    entry.listed = listed;
    entry.cold_until = now + listed.cold_for;
    return starts_anew;
}

void
RunnerTable::remove(std::string_view id)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        m_entries.erase(found);
}

void
RunnerTable::evacuate(std::string_view zone, bool evacuated, TimePoint now)
{
    if (evacuated)
        m_evacuated.emplace(zone);
    else if (m_evacuated.erase(std::string(zone)) > 0)
        m_reopened.insert_or_assign(std::string(zone), now);
}

void
RunnerTable::evacuate_only(const std::set<std::string>& zones, TimePoint now)
{
    const auto before = m_evacuated;
    for (const std::string& zone : before)
        if (!zones.contains(zone))
            evacuate(zone, false, now);
    m_evacuated.insert(zones.begin(), zones.end());
}

void
RunnerTable::keep_services(
    const std::set<std::string_view, std::less<>>& services)
{
    std::erase_if(m_entries, [&services](const auto& item) {
        return !services.contains(item.second.listed.service);
    });
}

/// Returns whether `entry` takes work now, or once it is free.
bool
RunnerTable::may_take_work(const RunnerEntry& entry,
                           const RunnerQuery& query) const
{
    const ListedRunner& listed = entry.listed;
    return listed.service == query.service && !listed.leaving &&
           !m_evacuated.contains(listed.zone) &&
           !(query.zones_allowed &&
             !query.zones_allowed->contains(listed.zone)) &&
           !(entry.gone_at && query.now >= *entry.gone_at) &&
           !(query.avoid && query.avoid->contains(listed.id)) &&
           (query.model.empty() || has_weights(entry, query));
}

/// Returns until when a runner warms up, as far as is known.
TimePoint
RunnerTable::warm_at(const RunnerEntry& entry, const RunnerQuery& query) const
{
    TimePoint warm = entry.cold_until;
    if (entry.contact_lost_at)
        warm = std::max(warm, *entry.contact_lost_at + restart_time +
                                  query.warm_up.time);
    const auto reopened = m_reopened.find(entry.listed.zone);
    if (reopened != m_reopened.end())
        warm = std::max(warm, reopened->second + query.warm_up.time);
    return warm;
}

/// Returns when a runner takes a call of this instance: it is held back after
/// a refusal or a failure, and while it warms up a few instances send to it, a
/// few calls a second each.
TimePoint
RunnerTable::free_at(const RunnerEntry& entry, const RunnerQuery& query) const
{
    if (query.warm_up.limit == 0 || query.warm_up.time.count() == 0)
        return entry.held_until;
    const TimePoint warm = warm_at(entry, query);
    if (query.now >= warm)
        return entry.held_until;
    const ListedRunner& listed = entry.listed;
    const WarmUpShare share = warm_up_share(
        query.warm_up.limit, m_members.count(listed.zone, query.now));
    if (share.calls == 0 ||
        !m_members.has_share(query.instance, listed.id, listed.zone,
                             share.instances, query.now))
        return std::max(entry.held_until, warm);
    if (entry.reserved >= share.calls)
        return std::max(entry.held_until, query.now + reserved_time);
    return std::max(
        entry.held_until,
        entry.sends.free_at(share.calls - entry.reserved, query.now));
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
        if (may_take_work(entry, query) && free_at(entry, query) <= query.now)
            candidates.push_back(&entry);
    if (candidates.empty())
        return std::nullopt;
    const FleetLoad fleet = fleet_load(query);
    sample(candidates, query);
    const RunnerEntry* chosen = cheapest(candidates, query, fleet);
    return RunnerPick{chosen->listed.id,
                      chosen->listed.born,
                      chosen->listed.address,
                      chosen->listed.zone,
                      chosen->version_of(query.model),
                      expected_wait(*chosen, query, fleet)};
}

std::optional<TimePoint>
RunnerTable::next_chance(const RunnerQuery& query) const
{
    std::optional<TimePoint> earliest;
    for (const auto& [id, entry] : m_entries) {
        if (!may_take_work(entry, query))
            continue;
        const TimePoint free = free_at(entry, query);
        if (!earliest || free < *earliest)
            earliest = free;
    }
    return earliest;
}

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
        entry->sends.sent(now);
        entry->own.add(tokens, resident);
        entry->untold.add(tokens, resident);
    }
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
RunnerTable::contact_lost(std::string_view id, TimePoint at)
{
    RunnerEntry* entry = find(id);
    if (entry && (!entry->contact_lost_at || *entry->contact_lost_at < at))
        entry->contact_lost_at = at;
}

std::map<std::string, TimePoint>
RunnerTable::contacts_lost(TimePoint since) const
{
    std::map<std::string, TimePoint> lost;
    for (const auto& [id, entry] : m_entries)
        if (entry.contact_lost_at && *entry.contact_lost_at > since)
            lost[id] = *entry.contact_lost_at;
    return lost;
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
RunnerTable::has_version(const RunnerIncarnation& runner,
                         std::string_view model, std::uint64_t version)
{
    RunnerEntry* entry = find(runner);
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

/// Returns the entry of this one process; null where the runner is gone, or
/// started anew.
RunnerEntry*
RunnerTable::find(const RunnerIncarnation& runner)
{
    RunnerEntry* entry = find(runner.id);
    return entry && entry->listed.born == runner.born ? entry : nullptr;
}

} // namespace crosslink
