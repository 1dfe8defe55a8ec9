// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of RunnerTable that tells when a runner accepts a call.

#include <crosslink/forward/runner_table.h>

#include <crosslink/forward/rate_share.h>
#include <crosslink/membership/rendezvous.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>

namespace crosslink
{

namespace
{

/// Time that a runner whose connection failed may take to restart, in addition
/// to its warm-up time. It may be down for a second or two, and its report of
/// the new start arrives up to 1.2 s late.
constexpr Micros restart_time = std::chrono::milliseconds(1500);
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
/// Instances that send to a brittle runner while its service refuses calls.
constexpr std::size_t sole_sender = 1;
/// A time that never comes.
constexpr TimePoint never = TimePoint::max();

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
           !(query.software && listed.software != *query.software) &&
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
                     limit_free_at(entry, query, reserved),
                     room_free_at(entry, query, reserved)});
}

/// Returns the same for the refusals that a brittle runner bears. Once one of
/// its service refused a call, each gets calls of one instance alone, which
/// therefore knows how many it has. The others borrow from that one.
TimePoint
RunnerTable::room_free_at(const RunnerEntry& entry, const RunnerQuery& query,
                          std::size_t reserved) const
{
    const std::uint32_t refusals = bearable_refusals(entry.listed.service);
    if (refusals == 0)
        return {};
    RateShare share;
    share.instances = sole_sender;
    share.calls = 1;
    const bool shared = query.now < shared_until(entry.listed.service);
    if (shared && !has_share(entry, query, share))
        return never;
    const std::uint32_t calls =
        static_cast<std::uint32_t>(reserved) + entry.calls_on_share();
    const RoomEstimate& room = entry.notices.room;
    return std::max(
        shared ? room.free_at_sole_sender(calls, query.now)
               : room.free_at(calls, query.now),
        entry.sends.free_at(1, RoomEstimate::send_interval, query.now));
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

/// Returns how many instances have a share of a runner's capacity; nothing if
/// all may send to it. A runner that warms up is left out: others serve its
/// calls meanwhile.
std::optional<std::size_t>
RunnerTable::share_count(const RunnerEntry& entry,
                         const RunnerQuery& query) const
{
    const std::string& service = entry.listed.service;
    const std::size_t present = m_members.count(entry.listed.zone, query.now);
    std::optional<std::size_t> count;
    if (entry.notices.limit.in_force())
        count =
            advertised_limit_share(entry.notices.limit.per_second(), present)
                .instances;
    if (bearable_refusals(service) > 0 && query.now < shared_until(service))
        count = sole_sender;
    return count;
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

} // namespace crosslink
