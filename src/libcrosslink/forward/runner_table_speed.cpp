// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of RunnerTable that knows how fast runners answer.

#include <crosslink/forward/runner_table.h>

#include <crosslink/forward/runner_price.h>
#include <crosslink/forward/speed_report.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace crosslink
{

namespace
{

/// Ratio to the mean of the service from which on a process is reported to
/// others. One odd answer alone does not exceed it.
constexpr double min_reported_ratio = 1.65;
/// Greatest reported lateness, so that no instance outweighs all others.
constexpr Micros max_reported_late = std::chrono::seconds(10);
/// Time for which this instance's own answers take precedence over reports.
constexpr Micros own_precedence = std::chrono::seconds(1);

constexpr double millis_per_second = 1000;

std::uint64_t
to_millis(Micros span)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

/// Returns random bits for a call with the bits `random` at a runner.
std::uint64_t
draws_for(std::uint64_t random, std::string_view runner)
{
    constexpr unsigned used_by_jitter = 32;
    return (random >> used_by_jitter) ^ std::hash<std::string_view>()(runner);
}

double
price_of(Micros late)
{
    return std::min(seconds(late) * millis_per_second, max_slowness_ms);
}

} // namespace

void
RunnerTable::answered(const RunnerIncarnation& runner, Micros expected,
                      Micros taken, TimePoint now)
{
    RunnerEntry* entry = find(runner);
    if (!entry)
        return;
    entry->speed.answered(expected, taken, now);
    m_speeds[entry->listed.service].answered(expected, taken, now);
    m_timed.insert(entry->listed.id);
}

Micros
RunnerTable::slowness_of(const RunnerEntry& entry, TimePoint now) const
{
    const auto service = m_speeds.find(entry.listed.service);
    return service == m_speeds.end()
               ? Micros{0}
               : slowness(entry.speed, service->second, now);
}

TimePoint
RunnerTable::await(const RunnerIncarnation& runner, Micros expected,
                   Micros allowance, TimePoint now)
{
    RunnerEntry* entry = find(runner);
    if (!entry)
        return now + expected + allowance;
    // Plain calls take as long as their work does, which is not known before.
    const auto service = m_speeds.find(entry->listed.service);
    if (service != m_speeds.end())
        expected = std::max(expected, service->second.mean_time(now));
    const TimePoint due = now + expected + allowance;
    entry->awaited.sent(due);
    m_timed.insert(entry->listed.id);
    return due;
}

void
RunnerTable::await_ended(const RunnerIncarnation& runner, TimePoint due,
                         bool is_answered, TimePoint now)
{
    RunnerEntry* entry = find(runner);
    if (!entry)
        return;
    if (is_answered)
        entry->awaited.answered(due, now);
    else
        entry->awaited.ended(due, now);
}

Micros
RunnerTable::stalled_for(const RunnerEntry& entry, TimePoint now) const
{
    return entry.awaited.stalled_for(last_answer(entry.listed.service), now);
}

/// Returns when any process of `service` last answered a call of this instance.
TimePoint
RunnerTable::last_answer(std::string_view service) const
{
    const auto found = m_speeds.find(service);
    return found == m_speeds.end() ? TimePoint{} : found->second.last();
}

/// Returns the price of a runner's slowness: by this instance's own answers if
/// they are recent, or else by what others report.
double
RunnerTable::slowness_ms(const RunnerEntry& entry,
                         const RunnerQuery& query) const
{
    const TimePoint now = query.now;
    if (stalled_for(entry, now) > Micros{0})
        return stalled_ms;
    const double own = price_of(slowness_of(entry, now));
    const ReportedSlowness& reported = entry.reported_slowness;
    if (!reported.counts(draws_for(query.random, entry.listed.id), now))
        return own;
    const TimePoint answered = entry.speed.last();
    if (reported.is_stalled() && answered < reported.at())
        return stalled_ms;
    if (answered != TimePoint{} && now - answered < own_precedence)
        return own;
    return std::max(own, price_of(reported.late()));
}

void
RunnerTable::prefilled(const RunnerIncarnation& runner, std::uint64_t tokens,
                       Micros wait, Micros taken, TimePoint now)
{
    if (const RunnerEntry* entry = find(runner))
        m_prefill_rates[entry->listed.service].prefilled(
            entry->listed.id, tokens, wait, taken, now);
}

double
RunnerTable::prefill_rate(std::string_view service, TimePoint now) const
{
    const auto found = m_prefill_rates.find(service);
    return found == m_prefill_rates.end() ? usual_prefill_rate
                                          : found->second.tokens_per_ms(now);
}

/// Discards what the process `ended` showed of its service's prefill rate.
void
RunnerTable::forget_prefill_rate(const ListedRunner& ended)
{
    const auto found = m_prefill_rates.find(ended.service);
    if (found != m_prefill_rates.end())
        found->second.forget(ended.id);
}

std::map<std::string, RunnerLoad>
RunnerTable::aged_load(std::map<std::string, RunnerLoad> load, Micros age,
                       TimePoint now) const
{
    std::map<std::string_view, double> rates; // By service.
    return crosslink::aged_load(
        std::move(load), age, [&](std::string_view runner) {
            const RunnerEntry* entry = visit(runner);
            if (!entry)
                return usual_prefill_rate;
            const std::string_view service = entry->listed.service;
            const auto [rate, is_new] = rates.try_emplace(service);
            if (is_new)
                rate->second = prefill_rate(service, now);
            return rate->second;
        });
}

SpeedReport
RunnerTable::speed_report(TimePoint now)
{
    SpeedReport report;
    std::erase_if(m_timed, [&](const std::string& id) {
        const RunnerEntry* entry = visit(id);
        return !entry || (entry->awaited.empty() &&
                          now - entry->speed.last() >= ResponseSpeed::lifetime);
    });
    for (const std::string& id : m_timed)
        report_slowness(*entry(id), report, now);
    for (const auto& [service, rate] : m_prefill_rates)
        if (const PrefillSamples samples = rate.samples(now);
            samples.count() > 0)
            report.prefill[service] = samples;
    report.limit();
    return report;
}

/// Adds a process to `report` if it has stalled, or is clearly slow.
void
RunnerTable::report_slowness(const RunnerEntry& entry, SpeedReport& report,
                             TimePoint now) const
{
    const Micros stalled = stalled_for(entry, now);
    const auto service = m_speeds.find(entry.listed.service);
    const bool is_slow = service != m_speeds.end() &&
                         entry.speed.ratio(now) >=
                             min_reported_ratio * service->second.ratio(now);
    if (stalled == Micros{0} && !is_slow)
        return;
    SlownessRow row;
    row.reports = 1;
    row.stalled = stalled > Micros{0} ? 1 : 0;
    row.late_sum_ms = to_millis(std::min(
        std::max(stalled, slowness_of(entry, now)), max_reported_late));
    row.age_sum_ms =
        stalled > Micros{0} ? 0 : to_millis(now - entry.speed.last());
    report.slow[process_key(entry.incarnation())] = row;
}

void
RunnerTable::apply_speed_report(const SpeedReport& report, TimePoint as_of)
{
    for (const auto& [key, row] : report.slow)
        if (RunnerEntry* entry = find(process_of(key)))
            entry->reported_slowness.apply(row, as_of);
    for (const auto& [service, samples] : report.prefill)
        if (m_index.groups(service))
            m_prefill_rates[service].set_others(samples, as_of);
}

} // namespace crosslink
