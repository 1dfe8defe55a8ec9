// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of RunnerTable that chooses a runner for a call.

#include <crosslink/forward/runner_table.h>

#include <crosslink/forward/rate_share.h>
#include <crosslink/forward/runner_price.h>
#include <crosslink/membership/rendezvous.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <random>
#include <string>
#include <utility>

namespace crosslink
{

namespace
{

/// Time for which the reported load of other instances is used.
constexpr Micros load_lifetime = std::chrono::milliseconds(1200);
/// Time that a runner whose connection failed may take to restart, in addition
/// to its warm-up time. It may be down for a second or two, and its report of
/// the new start arrives up to 1.2 s late.
constexpr Micros restart_time = std::chrono::milliseconds(1500);

/// Time that a process which ends in steps seldom exceeds.
constexpr Micros shutdown_time = std::chrono::seconds(2);

/// A call that waited for its time may be this much too early, since the
/// previous one was sent as much too late.
constexpr Micros early_tolerance = std::chrono::milliseconds(20);
/// Minimum interval between probes of a silent runner by an instance without a
/// share.
constexpr Micros probe_interval = std::chrono::seconds(5);
/// Length of a round of probes. All instances know the answer to a probe by the
/// next round.
constexpr Micros probe_round = std::chrono::seconds(3);
/// Rounds after which the number of probing instances stays the same, at eight.
constexpr std::int64_t max_rounds = 3;
/// Factor by which an account above its fair share waits longer for each place
/// than the others. SendWindow makes up for as much time.
constexpr double over_share_factor = 1.5;
/// A time that never comes.
constexpr TimePoint never = TimePoint::max();

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
/// instances of that zone chose there.
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

/// Reduces the candidates to a random sample if many instances choose by the
/// same load reports. Otherwise all of them fill the same few runners that had
/// room. Each zone is sampled by itself, so that every call finds runners of
/// its own zone. Zones that are so small that none of their runners would be
/// left out are sampled together.
void
sample(Candidates& candidates, const RunnerQuery& query)
{
    const std::size_t instances = std::max<std::size_t>(query.instances, 1);
    std::mt19937_64 generator(query.random);
    Candidates sampled = sample_zones(candidates, instances, generator);
    if (sampled.size() < candidates.size())
        candidates = std::move(sampled);
    else
        sample_candidates(candidates, instances, generator);
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

/// Returns whether a call may start on the weights of `entry`. Replaced weights
/// get no calls past their bound, even if few runners have the new ones:
/// otherwise each late rollout would break the promised bound.
bool
has_weights(const RunnerEntry& entry, const RunnerQuery& query)
{
    const std::uint64_t version = entry.version_of(query.model);
    return version > 0 && version >= query.least_version;
}

/// Returns when an instance with `share` may send a call, in addition to
/// `reserved` others.
TimePoint
share_free_at(const SendWindow& sends, const RateShare& share,
              std::size_t reserved, TimePoint now)
{
    const std::size_t left = share.calls - reserved % share.calls;
    const auto windows = static_cast<Micros::rep>(reserved / share.calls);
    return sends.free_at(left, share.window, now) + windows * share.window;
}

/// Returns for how long a runner with a limit has been silent beyond what its
/// shares explain; negative if it has not.
Micros
excess_silence(const AdvertisedLimit& limit, TimePoint now)
{
    const auto silence =
        std::chrono::duration_cast<Micros>(now - limit.confirmed_at());
    return silence - longest_silence(limit.per_second());
}

/// Returns whether this instance probes a silent runner without having a share:
/// one instance of the fleet in each round, and more in later rounds, in case
/// those selected before had no callers.
bool
probes_silent(const RunnerEntry& entry, const RunnerQuery& query)
{
    const Micros excess = excess_silence(entry.notices.limit, query.now);
    if (excess.count() < 0)
        return false;
    const auto rounds =
        std::min<std::int64_t>(excess / probe_round, max_rounds);
    const std::string round =
        entry.listed.id + ' ' +
        std::to_string(query.now.time_since_epoch() / probe_round);
    const auto instances = std::max<std::uint64_t>(query.instances, 1);
    const std::uint64_t part =
        std::numeric_limits<std::uint64_t>::max() / instances;
    return rendezvous_weight(round, query.instance) / (1U << rounds) < part;
}

/// Returns whether a runner may be ending: one that ends in steps accepts
/// connections and breaks them until its port closes.
bool
connection_failed_lately(const RunnerEntry& entry, TimePoint now)
{
    return entry.connection_failed_at &&
           now < *entry.connection_failed_at + shutdown_time;
}

/// Returns whether a runner with a limit has been silent for so long that the
/// next call goes there at any price. Otherwise, instances for which it is
/// expensive would not learn of the limit's end.
bool
needs_probe(const RunnerEntry& entry, TimePoint now)
{
    return entry.notices.limit.in_force() &&
           excess_silence(entry.notices.limit, now).count() >= 0;
}

} // namespace

/// Returns whether `entry` accepts work now, or once it is free.
bool
RunnerTable::may_accept_work(const RunnerEntry& entry,
                             const RunnerQuery& query) const
{
    const ListedRunner& listed = entry.listed;
    return listed.service == query.service && !entry.leaves() &&
           !m_evacuated.contains(listed.zone) &&
           !(query.zones_allowed &&
             !query.zones_allowed->contains(listed.zone)) &&
           !(entry.gone_at && query.now >= *entry.gone_at) &&
           !(query.avoid && query.avoid->contains(listed.id)) &&
           (query.model.empty() || has_weights(entry, query));
}

/// Returns until when a runner warms up, as far as known.
TimePoint
RunnerTable::warm_at(const RunnerEntry& entry, const RunnerQuery& query) const
{
    TimePoint warm = entry.cold_until;
    if (entry.connection_failed_at)
        warm = std::max(warm, *entry.connection_failed_at + restart_time +
                                  query.warm_up.time);
    const auto reopened = m_reopened.find(entry.listed.zone);
    if (reopened != m_reopened.end())
        warm = std::max(warm, reopened->second + query.warm_up.time);
    return warm;
}

/// Returns whether this instance is one of those that send to a runner.
bool
RunnerTable::has_share(const RunnerEntry& entry, const RunnerQuery& query,
                       const RateShare& share) const
{
    const ListedRunner& listed = entry.listed;
    return share.calls > 0 &&
           m_members.has_share(query.instance, listed.id, listed.zone,
                               share.instances, query.now);
}

/// Returns when a runner accepts a call of this instance, in addition to those
/// reserved there. It gets none for a while after a refusal or a failure, and
/// during a backoff that it requested. If it warms up or advertises a limit, a
/// few instances send to it, each a share of what it accepts.
TimePoint
RunnerTable::free_at(const RunnerEntry& entry, const RunnerQuery& query) const
{
    return free_at(entry, query, entry.reserved);
}

TimePoint
RunnerTable::free_at(const RunnerEntry& entry, const RunnerQuery& query,
                     std::size_t reserved) const
{
    return std::max({entry.paused_until, entry.notices.backoff_until,
                     warm_up_free_at(entry, query, reserved),
                     limit_free_at(entry, query, reserved)});
}

TimePoint
RunnerTable::warm_up_free_at(const RunnerEntry& entry, const RunnerQuery& query,
                             std::size_t reserved) const
{
    if (query.warm_up.limit == 0 || query.warm_up.time.count() == 0)
        return {};
    const TimePoint warm = warm_at(entry, query);
    if (query.now >= warm)
        return {};
    const RateShare share = warm_up_share(
        query.warm_up.limit, m_members.count(entry.listed.zone, query.now));
    if (!has_share(entry, query, share))
        return warm;
    return share_free_at(entry.sends, share, reserved, query.now);
}

/// Returns the same for the limit that the runner advertises. Without it, each
/// instance would send as much as to any other runner, and the runner would get
/// the sum.
TimePoint
RunnerTable::limit_free_at(const RunnerEntry& entry, const RunnerQuery& query,
                           std::size_t reserved) const
{
    if (!entry.notices.limit.in_force())
        return {};
    RateShare share =
        advertised_limit_share(entry.notices.limit.per_second(),
                               m_members.count(entry.listed.zone, query.now));
    if (!has_share(entry, query, share))
        return probes_silent(entry, query)
                   ? entry.sends.free_at(1, probe_interval, query.now)
                   : never;
    // Each place is offered to the other accounts first.
    if (query.account_above_share)
        share.window = std::chrono::duration_cast<Micros>(share.window *
                                                          over_share_factor);
    return share_free_at(entry.sends, share, reserved, query.now);
}

const RunnerEntry*
RunnerTable::cheapest(const Candidates& candidates, const RunnerQuery& query,
                      const FleetLoad& fleet) const
{
    const RunnerEntry* preferred =
        query.affinity.empty() ? nullptr
                               : preferred_by_affinity(candidates, query);
    // All instances see at the same time that a runner became idle. The random
    // addition makes each of them skip it now and then.
    std::minstd_rand generator(
        static_cast<std::minstd_rand::result_type>(query.random));
    std::uniform_real_distribution<double> extra(0, jitter_ms(query));
    const RunnerEntry* best = nullptr;
    double best_price = 0;
    for (const RunnerEntry* entry : candidates) {
        double price = price_ms(*entry, query, fleet) + extra(generator);
        if (entry == preferred)
            price -= affinity_ms;
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
    const Candidates found = candidates(query);
    if (found.empty())
        return std::nullopt;
    return pick_of(*cheapest(found, query, fleet), query, fleet);
}

/// Returns whether a runner accepts a call now.
bool
RunnerTable::accepts(const RunnerEntry& entry, const RunnerQuery& query) const
{
    return may_accept_work(entry, query) && free_at(entry, query) <= query.now;
}

/// Returns a runner that the call is to probe; null if there is none.
const RunnerEntry*
RunnerTable::due_probe(const RunnerQuery& query) const
{
    for (const std::string& id : m_index.noticed) {
        const RunnerEntry* entry = visit(id);
        if (entry && accepts(*entry, query) && needs_probe(*entry, query.now))
            return entry;
    }
    return nullptr;
}

/// Returns the runners among which this instance chooses.
Candidates
RunnerTable::candidates(const RunnerQuery& query) const
{
    const RunnerIndex::Groups* groups = m_index.groups(query.service);
    if (!groups)
        return {};
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
        sample(found, query);
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
    return found;
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
    const bool is_its_turn =
        entry && may_accept_work(*entry, query) &&
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
            entry.notices.limit.change()};
}

NextAvailability
RunnerTable::next_available(const RunnerQuery& query) const
{
    NextAvailability chance;
    for (const auto& [id, entry] : m_entries) {
        if (!may_accept_work(entry, query))
            continue;
        chance.limited = chance.limited || entry.notices.limit.in_force();
        const TimePoint free = free_at(entry, query);
        if (free == never)
            continue;
        if (entry.notices.backoff_until > query.now) {
            chance.backoff_ends_at =
                std::min(chance.backoff_ends_at.value_or(free), free);
            continue;
        }
        if (chance.at && *chance.at <= free)
            continue;
        chance.at = free;
        chance.runner = id;
        chance.start_ms = entry.listed.start_ms;
    }
    return chance;
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
