// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_table.h>

#include <crosslink/forward/rate_share.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace crosslink
{

namespace
{

/// Time for which a zone is avoided after a runner there did not respond.
constexpr Micros silent_zone_time = std::chrono::milliseconds(2500);
/// Time for which a runner gets no calls after a first failure, and the number
/// of times that it may double.
constexpr Micros first_failure_hold = std::chrono::milliseconds(500);
constexpr std::uint32_t max_doublings = 4;
/// How far apart two instances may learn of the end of a third one (0.4 s from
/// the platform, and 0.15 s or less for each of three exchanges), plus the
/// second over which calls to a cold runner are counted.
constexpr Micros settling_time = std::chrono::milliseconds(2000);

/// How long a connection failure is remembered for other instances, at least.
constexpr Micros failure_report_time = std::chrono::seconds(5);

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
    drop_if([&ids](const RunnerEntry& entry) {
        return !ids.contains(entry.listed.id);
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

/// Applies all entries of the list, and returns their ids.
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

/// Drops the entries that meet `condition`, but keeps the notices of their
/// processes, since they may be listed again.
void
RunnerTable::drop_if(const std::function<bool(const RunnerEntry&)>& condition)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const auto next = std::next(entry);
        ++m_visited;
        if (condition(entry->second))
            drop(entry);
        entry = next;
    }
}

void
RunnerTable::drop(Entries::iterator entry)
{
    m_unlisted.keep(entry->second.incarnation(), entry->second.notices);
    m_index.remove(entry->first);
    m_entries.erase(entry);
}

/// Returns an entry by its id, counted as visited; null if it is gone.
const RunnerEntry*
RunnerTable::visit(std::string_view id) const
{
    ++m_visited;
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

void
RunnerTable::lapsed(std::string_view id, TimePoint gone_at)
{
    RunnerEntry* entry = find(id);
    if (!entry || entry->gone_at)
        return;
    entry->gone_at = gone_at;
    m_index.lapsed.emplace(id);
}

void
RunnerTable::expire(TimePoint now)
{
    const RunnerIndex::Ids lapsed = m_index.lapsed;
    for (const std::string& id : lapsed) {
        ++m_visited;
        const auto entry = m_entries.find(id);
        if (entry == m_entries.end() || !entry->second.gone_at)
            m_index.lapsed.erase(id);
        else if (now >= *entry->second.gone_at)
            drop(entry);
    }
    prune_noticed(now);
    m_unlisted.expire(now);
}

/// Forgets which runners had notices that are over.
void
RunnerTable::prune_noticed(TimePoint now)
{
    std::erase_if(m_index.noticed, [&](const std::string& id) {
        const RunnerEntry* entry = visit(id);
        if (!entry)
            return true;
        const bool failed =
            entry->connection_failed_at &&
            now < *entry->connection_failed_at + failure_report_time;
        const AdvertisedLimit& limit = entry->notices.limit;
        return !failed && !entry->notices.leaving && !limit.in_force() &&
               !limit.needs_reporting(now);
    });
}

bool
RunnerTable::put(const ListedRunner& listed, TimePoint now)
{
    const auto [found, is_new] = m_entries.try_emplace(listed.id);
    RunnerEntry& entry = found->second;
    if (!is_new && listed.start_ms < entry.listed.start_ms)
        return false;
    const bool starts_anew = !is_new && listed.start_ms > entry.listed.start_ms;
    if (starts_anew) {
        // Recent sends also count for the new process.
        const SendWindow sends = entry.sends;
        entry = {};
        entry.sends = sends;
        m_index.busy.erase(listed.id);
    }
    if (is_new || starts_anew)
        entry.notices = m_unlisted.take({listed.id, listed.start_ms});
    if (!entry.notices.empty())
        m_index.noticed.insert(listed.id);
    entry.gone_at.reset();
    entry.listed = listed;
    m_index.add(listed.id, listed.service, listed.zone);
    entry.cold_until = now + listed.cold_for;
    return starts_anew;
}

void
RunnerTable::remove(std::string_view id)
{
    if (const auto entry = m_entries.find(id); entry != m_entries.end())
        drop(entry);
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
    drop_if([&services](const RunnerEntry& entry) {
        return !services.contains(entry.listed.service);
    });
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
        record_send(*entry, now);
        entry->own.add(tokens, resident);
        entry->unreported_load.add(tokens, resident);
        m_index.busy.emplace(runner.id);
        m_index.loaded.emplace(runner.id);
    }
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

void
RunnerTable::refused(const RunnerIncarnation& runner, TimePoint now,
                     Micros hold)
{
    if (RunnerEntry* entry = find(runner))
        entry->paused_until = std::max(entry->paused_until, now + hold);
}

void
RunnerTable::loads(std::string_view id, TimePoint now, Micros hold)
{
    if (const RunnerEntry* entry = find(id))
        refused(entry->incarnation(), now, hold);
}

void
RunnerTable::failed(const RunnerIncarnation& runner, TimePoint now)
{
    RunnerEntry* entry = find(runner);
    if (!entry)
        return;
    const Micros hold =
        first_failure_hold * (1 << std::min(entry->failures, max_doublings));
    ++entry->failures;
    entry->paused_until = std::max(entry->paused_until, now + hold);
}

void
RunnerTable::succeeded(const RunnerIncarnation& runner)
{
    RunnerEntry* entry = find(runner);
    if (!entry)
        return;
    if (entry->failures > 0)
        --entry->failures;
    m_silent_zones.erase(entry->listed.zone);
}

void
RunnerTable::connection_failed(std::string_view id, TimePoint at)
{
    RunnerEntry* entry = find(id);
    if (entry &&
        (!entry->connection_failed_at || *entry->connection_failed_at < at))
        entry->connection_failed_at = at;
    if (entry)
        m_index.noticed.emplace(id);
}

std::map<std::string, TimePoint>
RunnerTable::connection_failures(TimePoint since) const
{
    std::map<std::string, TimePoint> lost;
    for (const std::string& id : m_index.noticed) {
        const RunnerEntry* entry = visit(id);
        if (entry && entry->connection_failed_at &&
            *entry->connection_failed_at > since)
            lost[id] = *entry->connection_failed_at;
    }
    return lost;
}

void
RunnerTable::silent(std::string_view id, TimePoint now)
{
    if (const RunnerEntry* entry = find(id))
        m_silent_zones[entry->listed.zone] = now + silent_zone_time;
}

bool
RunnerTable::record_version(const RunnerIncarnation& runner,
                            std::string_view model, std::uint64_t version)
{
    RunnerEntry* entry = find(runner);
    const std::uint64_t known = entry ? entry->version_of(model) : 0;
    if (known == 0 || known >= version)
        return false;
    erase_model(entry->reported_models, model);
    entry->reported_models.push_back({std::string(model), version});
    return true;
}

void
RunnerTable::discard_version(const RunnerIncarnation& runner,
                             std::string_view model, std::uint64_t version)
{
    RunnerEntry* entry = find(runner);
    if (entry && entry->version_of(model) == version)
        erase_model(entry->reported_models, model);
}

bool
RunnerTable::apply_limit_answer(const RunnerIncarnation& runner,
                                double per_second, std::uint64_t known,
                                TimePoint now)
{
    RunnerNotices* notices = notices_of(runner);
    if (!notices)
        return false;
    notices->reported_at = now;
    return notices->limit.apply_answer(per_second, known, now);
}

bool
RunnerTable::merge_limit(const LimitUpdate& update, TimePoint now)
{
    RunnerNotices* notices = notices_of({update.runner, update.start_ms});
    if (!notices)
        return false;
    notices->reported_at = now;
    return notices->limit.merge(update, now);
}

std::vector<LimitUpdate>
RunnerTable::limit_updates(TimePoint now) const
{
    std::vector<LimitUpdate> updates;
    for (const std::string& id : m_index.noticed) {
        const RunnerEntry* entry = visit(id);
        if (!entry || !entry->notices.limit.needs_reporting(now))
            continue;
        const AdvertisedLimit& limit = entry->notices.limit;
        updates.push_back({id, entry->listed.start_ms, limit.per_second(),
                           limit.change(), limit.confirmations()});
    }
    return updates;
}

std::size_t
RunnerTable::limited_count() const
{
    return static_cast<std::size_t>(
        std::count_if(m_index.noticed.begin(), m_index.noticed.end(),
                      [this](const std::string& id) {
                          const RunnerEntry* entry = visit(id);
                          return entry && entry->notices.limit.in_force();
                      }));
}

bool
RunnerTable::set_leaving(const RunnerIncarnation& runner, TimePoint now)
{
    RunnerNotices* notices = notices_of(runner);
    if (!notices)
        return false;
    notices->reported_at = now;
    return !std::exchange(notices->leaving, true);
}

std::vector<LeavingUpdate>
RunnerTable::leaving_updates() const
{
    std::vector<LeavingUpdate> updates;
    for (const std::string& id : m_index.noticed) {
        const RunnerEntry* entry = visit(id);
        if (entry && entry->notices.leaving && !entry->listed.leaving)
            updates.push_back({id, entry->listed.start_ms});
    }
    return updates;
}

bool
RunnerTable::set_backoff(const RunnerIncarnation& runner, TimePoint until,
                         TimePoint now)
{
    RunnerNotices* notices = notices_of(runner);
    if (!notices)
        return false;
    notices->reported_at = now;
    if (until <= notices->backoff_until)
        return false;
    notices->backoff_until = until;
    return true;
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

RunnerEntry*
RunnerTable::find(std::string_view id)
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

/// Returns the entry of exactly this process; null if the runner is gone or was
/// restarted.
RunnerEntry*
RunnerTable::find(const RunnerIncarnation& runner)
{
    RunnerEntry* entry = find(runner.id);
    return entry && entry->listed.start_ms == runner.start_ms ? entry : nullptr;
}

/// Returns the notices of exactly this process, to be updated, whether it is
/// listed or not; null if a later process under its id is known.
RunnerNotices*
RunnerTable::notices_of(const RunnerIncarnation& runner)
{
    RunnerEntry* entry = find(runner.id);
    if (!entry || entry->listed.start_ms < runner.start_ms)
        return m_unlisted.find(runner);
    if (entry->listed.start_ms != runner.start_ms)
        return nullptr;
    m_index.noticed.emplace(runner.id);
    return &entry->notices;
}

} // namespace crosslink
