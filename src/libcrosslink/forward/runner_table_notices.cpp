// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of RunnerTable that records what runners say and show of themselves.

#include <crosslink/forward/runner_table.h>

#include <algorithm>
#include <utility>

namespace crosslink
{

namespace
{

/// Time for which a zone is avoided after a runner there did not respond.
constexpr Micros silent_zone_time = std::chrono::milliseconds(2500);
/// Time for which one instance alone sends to each runner of a brittle service,
/// from a refusal on.
constexpr Micros shared_time = std::chrono::seconds(15);
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
RunnerTable::connection_failed(std::string_view id, TimePoint at)
{
    RunnerEntry* entry = find(id);
    if (!entry)
        return false;
    m_index.noticed.emplace(id);
    const auto known = entry->connection_failed_at;
    if (known && *known >= at)
        return false;
    entry->connection_failed_at = at;
    return !known || at - *known > failure_report_time;
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

void
RunnerTable::set_bearable_refusals(const RunnerIncarnation& runner,
                                   std::uint32_t refusals)
{
    const RunnerEntry* entry = find(runner);
    if (!entry)
        return;
    if (refusals == 0)
        m_brittle.erase(entry->listed.service);
    else
        m_brittle[entry->listed.service].bearable_refusals = refusals;
}

std::uint32_t
RunnerTable::bearable_refusals(std::string_view service) const
{
    const auto found = m_brittle.find(service);
    return found == m_brittle.end() ? 0 : found->second.bearable_refusals;
}

TimePoint
RunnerTable::shared_until(std::string_view service) const
{
    const auto found = m_brittle.find(service);
    return found == m_brittle.end() ? TimePoint() : found->second.shared_until;
}

void
RunnerTable::found_no_room(const RunnerIncarnation& runner, TimePoint now,
                           std::uint64_t random)
{
    RunnerEntry* entry = find(runner);
    const auto brittle =
        entry ? m_brittle.find(entry->listed.service) : m_brittle.end();
    if (brittle == m_brittle.end())
        return;
    const bool sends_alone = now < brittle->second.shared_until;
    brittle->second.shared_until = now + shared_time;
    if (sends_alone)
        entry->notices.room.refused_to_sole_sender(
            entry->calls_on_share(), brittle->second.bearable_refusals, now);
    else
        entry->notices.room.refused(entry->calls_on_share(), now, random);
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
