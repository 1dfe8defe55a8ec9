// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_table.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace crosslink
{

namespace
{

/// Time for which a runner gets no calls after a first failure, and the number
/// of times that it may double.
constexpr Micros first_failure_hold = std::chrono::milliseconds(500);
constexpr std::uint32_t max_doublings = 4;
/// How far apart two instances may learn of the end of a third one (0.4 s from
/// the platform, and 0.15 s or less for each of three exchanges), plus the
/// second over which calls to a cold runner are counted.
constexpr Micros settling_time = std::chrono::milliseconds(2000);

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
    m_ended.add(entry->second.incarnation());
    m_index.remove(entry->first);
    forget_prefill_rate(entry->second.listed);
    uncount_software(entry->second.listed);
    m_entries.erase(entry);
}

void
RunnerTable::uncount_software(const ListedRunner& listed)
{
    const auto versions = m_software.find(listed.service);
    if (versions == m_software.end())
        return;
    const auto found = versions->second.find(listed.software);
    if (found != versions->second.end() && --found->second == 0)
        versions->second.erase(found);
    if (versions->second.empty())
        m_software.erase(versions);
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
    m_ended.expire(now);
}

bool
RunnerTable::put(const ListedRunner& listed, TimePoint now)
{
    const RunnerIncarnation incarnation{listed.id, listed.start_ms};
    if (listed.leaving)
        m_ended.add(incarnation);
    else
        m_ended.remove(incarnation);
    return apply_listed(listed, now);
}

bool
RunnerTable::put_restored(const ListedRunner& listed, TimePoint now)
{
    const RunnerIncarnation incarnation{listed.id, listed.start_ms};
    ListedRunner latest = listed;
    latest.leaving = listed.leaving || m_ended.contains(incarnation);
    if (latest.leaving)
        m_ended.add(incarnation);
    if (const RunnerEntry* known = find(incarnation))
        for (LoadedModel& model : latest.models)
            model.version =
                std::max(model.version, known->version_of(model.model));
    return apply_listed(latest, now);
}

bool
RunnerTable::is_outdated(const ListedRunner& listed) const
{
    const auto known = m_entries.find(listed.id);
    const bool is_earlier = known != m_entries.end() &&
                            listed.start_ms < known->second.listed.start_ms;
    return is_earlier || m_ended.contains({listed.id, listed.start_ms});
}

/// As put(), without a record of whether the process ends.
bool
RunnerTable::apply_listed(const ListedRunner& listed, TimePoint now)
{
    const auto [found, is_new] = m_entries.try_emplace(listed.id);
    RunnerEntry& entry = found->second;
    if (!is_new && listed.start_ms < entry.listed.start_ms)
        return false;
    if (!is_new)
        uncount_software(entry.listed);
    ++m_software[listed.service][listed.software];
    const bool starts_anew = !is_new && listed.start_ms > entry.listed.start_ms;
    if (starts_anew) {
        // Recent sends also count for the new process.
        const SendWindow sends = entry.sends;
        forget_prefill_rate(entry.listed);
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
    entry->served = true;
    m_silent_zones.erase(entry->listed.zone);
}

const RunnerEntry*
RunnerTable::entry(std::string_view id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
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

} // namespace crosslink
