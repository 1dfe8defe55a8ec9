// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of RunnerTable that chooses a runner for a call.

#include <crosslink/forward/runner_table.h>

#include <crosslink/forward/home_runners.h>
#include <crosslink/forward/runner_price.h>
#include <crosslink/forward/segment_holders.h>
#include <crosslink/forward/zone_spill.h>
#include <crosslink/membership/rendezvous.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <random>
#include <string>
#include <utility>

namespace crosslink
{

namespace
{

/// Time for which the reported load of other instances is used.
constexpr Micros load_lifetime = std::chrono::milliseconds(1200);
/// Time for which a process that broke a connection may still be ending.
constexpr Micros shutdown_time = std::chrono::seconds(2);
/// A call that waited for its time may be this much too early, since the
/// previous one was sent as much too late.
constexpr Micros early_tolerance = std::chrono::milliseconds(20);

using Candidates = std::vector<const RunnerEntry*>;

/// Minimum number of runners to choose from.
constexpr std::size_t min_choice = 2;
/// Largest number of runners of a service in one zone that are all looked at
/// for a call. Of more runners, a random sample is drawn and only it is looked
/// at, so that a choice costs the same in a fleet of any size.
constexpr std::size_t max_walked = 128;
/// Times that the size of a sample is drawn before all runners of a zone are
/// looked at: so many of them accept no work.
constexpr std::size_t max_draws = 4;

/// Returns the size of the sample of `runners` from which one of `instances`
/// chooses.
std::size_t
sample_size(std::size_t runners, std::size_t instances)
{
    return std::max(min_choice, max_choosers * runners / instances);
}

/// Reduces `candidates` to a random sample, from which `instances` choose.
void
sample_candidates(Candidates& candidates, std::size_t instances,
                  std::mt19937_64& generator)
{
    const std::size_t count = sample_size(candidates.size(), instances);
    if (count >= candidates.size())
        return;
    std::shuffle(candidates.begin(), candidates.end(), generator);
    candidates.resize(count);
}

/// Returns a random sample of the candidates of each zone, as if only the
/// instances of that zone chose there. `candidates` must not be empty.
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
        sample_candidates(part, of_zone, generator);
        sampled.insert(sampled.end(), part.begin(), part.end());
    }
    return sampled;
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
contains(const Candidates& candidates, const RunnerEntry* entry)
{
    return std::find(candidates.begin(), candidates.end(), entry) !=
           candidates.end();
}

/// Returns the home runners among `candidates`.
Candidates
home_of(const Candidates& candidates, const HomeRunners& homes)
{
    Candidates home;
    if (homes.exist())
        std::copy_if(
            candidates.begin(), candidates.end(), std::back_inserter(home),
            [&](const RunnerEntry* entry) { return homes.contains(*entry); });
    return home;
}

/// Returns the mean expected wait at the candidates of each zone, with the cost
/// of fetching the prompt's stored parts from another one.
ZoneSpill::Costs
zone_costs(const Candidates& candidates, const RunnerQuery& query,
           const FleetLoad& fleet)
{
    ZoneSpill::Costs costs;
    std::map<std::string_view, double> counts;
    for (const RunnerEntry* entry : candidates) {
        costs[entry->listed.zone] +=
            in_milliseconds(reported_wait(*entry, query, fleet));
        ++counts[entry->listed.zone];
    }
    for (auto& [zone, cost] : costs)
        cost = cost / counts[zone] + far_fetch_ms(zone, query);
    return costs;
}

/// Returns whether a runner may be ending: one that ends in steps accepts
/// connections and breaks them until its port closes.
bool
connection_failed_lately(const RunnerEntry& entry, TimePoint now)
{
    return entry.connection_failed_at &&
           now < *entry.connection_failed_at + shutdown_time;
}

} // namespace

/// Reduces the candidates to a random sample if many instances choose by the
/// same load reports. Otherwise all of them fill the same few runners that had
/// room. Each zone is sampled by itself, so that every call finds runners of
/// its own zone. Zones that are so small that none of their runners would be
/// left out are sampled together. Home runners are never left out.
void
RunnerTable::sample(Candidates& candidates, const Candidates& home,
                    const RunnerQuery& query) const
{
    if (candidates.empty())
        return;
    const std::size_t instances = std::max<std::size_t>(query.instances, 1);
    std::mt19937_64 generator(query.random);
    Candidates sampled = sample_zones(candidates, instances, generator);
    if (sampled.size() < candidates.size())
        candidates = std::move(sampled);
    else
        sample_candidates(candidates, instances, generator);
    for (const RunnerEntry* entry : home)
        if (!contains(candidates, entry))
            candidates.push_back(entry);
}

/// Returns the home runners of this instance.
HomeRunners
RunnerTable::home_runners(const RunnerQuery& query) const
{
    return {m_members, query, runners_of_own_zone(query), max_walked};
}

std::size_t
RunnerTable::runners_of_own_zone(const RunnerQuery& query) const
{
    const RunnerIndex::Groups* groups = m_index.groups(query.service);
    if (!groups)
        return 0;
    const auto group = groups->find(query.zone);
    return group == groups->end() ? 0 : group->second.ids.size();
}

const RunnerEntry*
RunnerTable::cheapest(const Candidates& candidates, const Candidates& home,
                      const RunnerQuery& query, const FleetLoad& fleet) const
{
    // All instances see at the same time that a runner became idle. The random
    // addition makes each of them skip it now and then.
    std::minstd_rand generator(
        static_cast<std::minstd_rand::result_type>(query.random));
    std::uniform_real_distribution<double> extra(0, jitter_ms(query, fleet));
    const SegmentHolders holders(home, query);
    const bool has_holders = !home.empty() && !query.segments.empty();
    const RunnerEntry* preferred =
        query.affinity.empty() || has_holders
            ? nullptr
            : preferred_by_affinity(candidates, query);
    const RunnerEntry* best = nullptr;
    double best_price = 0;
    for (const RunnerEntry* entry : candidates) {
        double price = price_ms(*entry, query, fleet) + extra(generator);
        if (entry == preferred)
            price -= affinity_ms;
        price -= holders.saved_ms(*entry);
        // An instance that has just joined has no home runner yet.
        if (!home.empty() && !contains(home, entry))
            price += not_home_ms;
        price += slowness_ms(*entry, query);
        if (is_silent(entry->listed.zone, query.now))
            price += silent_zone_ms;
        if (query.avoids_exiting && connection_failed_lately(*entry, query.now))
            price += connection_failed_ms;
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
    const FleetLoad fleet = fleet_load(query);
    if (const RunnerEntry* probed = due_probe(query))
        return pick_of(*probed, query, fleet);
    Candidates home;
    const Candidates found = candidates(query, fleet, home);
    if (found.empty())
        return std::nullopt;
    return pick_of(*cheapest(found, home, query, fleet), query, fleet);
}

/// Returns the runners among which this instance chooses, and sets `home` to
/// those of them that are home runners.
Candidates
RunnerTable::candidates(const RunnerQuery& query, const FleetLoad& fleet,
                        Candidates& home) const
{
    const RunnerIndex::Groups* groups = m_index.groups(query.service);
    if (!groups)
        return {};
    const HomeRunners homes = home_runners(query);
    Candidates found;
    const bool draws =
        std::any_of(groups->begin(), groups->end(), [](const auto& item) {
            return item.second.ids.size() > max_walked;
        });
    if (!draws) {
        for (const auto& [zone, group] : *groups) {
            const Candidates part = walk(group, query);
            found.insert(found.end(), part.begin(), part.end());
        }
        if (homes.exist())
            keep_zone_of(found, query, fleet);
        home = home_of(found, homes);
        sample(found, home, query);
        return found;
    }
    const std::size_t of_zone =
        std::max<std::size_t>(query.instances / groups->size(), 1);
    std::mt19937_64 generator(query.random);
    for (const auto& [zone, group] : *groups) {
        const Candidates part = draw(
            group, sample_size(group.ids.size(), of_zone), query, generator);
        found.insert(found.end(), part.begin(), part.end());
    }
    home = home_of(found, homes);
    return found;
}

/// Reduces `candidates` to those of another zone if the call goes there since
/// the own zone is short of capacity.
void
RunnerTable::keep_zone_of(Candidates& candidates, const RunnerQuery& query,
                          const FleetLoad& fleet) const
{
    // The waits in zones whose load is not known can't be compared.
    if (!fleet.others_known || !fleet.known_zone.empty() ||
        is_silent(query.zone, query.now))
        return;
    ZoneSpill::Costs costs = zone_costs(candidates, query, fleet);
    std::erase_if(costs, [&](const auto& item) {
        return is_silent(item.first, query.now);
    });
    const std::string_view zone =
        ZoneSpill::choose(query.zone, costs, query.random);
    if (zone != query.zone)
        std::erase_if(candidates, [zone](const RunnerEntry* entry) {
            return entry->listed.zone != zone;
        });
}

/// Returns all runners of `group` that accept the call.
Candidates
RunnerTable::walk(const RunnerIndex::Group& group,
                  const RunnerQuery& query) const
{
    Candidates found;
    for (const std::string& id : group.ids) {
        const RunnerEntry* entry = visit(id);
        if (entry && accepts(*entry, query))
            found.push_back(entry);
    }
    return found;
}

/// Returns a random sample of `count` of the runners of `group` that accept the
/// call, or fewer if not so many do.
Candidates
RunnerTable::draw(const RunnerIndex::Group& group, std::size_t count,
                  const RunnerQuery& query, std::mt19937_64& generator) const
{
    const std::size_t draws = max_draws * count;
    if (draws < group.ids.size()) {
        std::set<std::size_t> drawn;
        Candidates found;
        std::uniform_int_distribution<std::size_t> any(0, group.ids.size() - 1);
        for (std::size_t i = 0; i < draws && found.size() < count; ++i) {
            const std::size_t position = any(generator);
            if (!drawn.insert(position).second)
                continue;
            const RunnerEntry* entry = visit(group.ids[position]);
            if (entry && accepts(*entry, query))
                found.push_back(entry);
        }
        if (found.size() == count)
            return found;
    }
    Candidates found = walk(group, query);
    std::shuffle(found.begin(), found.end(), generator);
    found.resize(std::min(found.size(), count));
    return found;
}

std::optional<RunnerPick>
RunnerTable::choose_reserved(const RunnerQuery& query,
                             const RunnerIncarnation& reservation)
{
    release(reservation);
    if (auto pick = choose(query))
        return pick;
    // The places of other calls that wait there come later.
    const RunnerEntry* entry = find(reservation);
    // Calls that wait for the end of the same hold would all be sent at once.
    const bool is_its_turn =
        entry && bearable_refusals(query.service) == 0 &&
        may_accept_work(*entry, query) &&
        entry->notices.backoff_until <= query.now &&
        free_at(*entry, query, 0) <= query.now + early_tolerance;
    if (!is_its_turn)
        return std::nullopt;
    return pick_of(*entry, query, fleet_load(query));
}

RunnerPick
RunnerTable::pick_of(const RunnerEntry& entry, const RunnerQuery& query,
                     const FleetLoad& fleet) const
{
    return {entry.listed.id,
            entry.listed.start_ms,
            entry.listed.address,
            entry.listed.zone,
            entry.version_of(query.model),
            expected_wait(entry, query, fleet),
            entry.notices.limit.in_force(),
            entry.notices.limit.change(),
            entry.listed.software,
            entry.listed.service,
            bearable_refusals(entry.listed.service),
            {},
            fleet.others_age,
            fleet.prefill_rate};
}

/// Returns what is known of the load of all runners of the service.
FleetLoad
RunnerTable::fleet_load(const RunnerQuery& query) const
{
    FleetLoad fleet;
    fleet.others_known =
        m_others_known && query.now - m_others_at < load_lifetime;
    fleet.known_zone = m_known_zone;
    fleet.others_age = std::max(
        std::chrono::duration_cast<Micros>(query.now - m_others_at), Micros{0});
    fleet.holding_time = holding_time(query.service);
    fleet.prefill_rate = prefill_rate(query.service, query.now);
    return fleet;
}

/// Returns how long calls of a service hold their KV memory.
Micros
RunnerTable::holding_time(std::string_view service) const
{
    const auto found = m_holding_times.find(service);
    return found == m_holding_times.end() ? HoldingTime().mean()
                                          : found->second.mean();
}

bool
RunnerTable::is_silent(std::string_view zone, TimePoint now) const
{
    const auto found = m_silent_zones.find(zone);
    return found != m_silent_zones.end() && now < found->second;
}

} // namespace crosslink
