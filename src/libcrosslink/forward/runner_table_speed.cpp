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
/// others. An answer that waited for one more prompt of the same size does not
/// exceed it.
constexpr double min_reported_ratio = 1.4;
/// Recent answers of its own to an instance that take precedence over reports.
constexpr double own_precedence = 2;
/// Time for which an answer shows that a service answers.
constexpr Micros answering_time = std::chrono::seconds(1);

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
    return std::min(in_milliseconds(late), max_slowness_ms);
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
    return service_speed(entry.listed.service, now)
        .slowness(entry.speed.ratio(now));
}

TimePoint
RunnerTable::await(const RunnerIncarnation& runner, Micros expected,
                   Micros allowance, TimePoint now)
{
    RunnerEntry* entry = find(runner);
    if (!entry)
        return now + expected + allowance;
    // Plain calls take as long as their work does, which is not known before.
    expected =
        std::max(expected, service_speed(entry->listed.service, now).time);
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
    if (!entry.awaited.is_overdue(now))
        return Micros{0};
    return entry.awaited.stalled_for(
        service_speed(entry.listed.service, now).last, now);
}

/// Returns the mean of all answers of `service`. Where many instances share few
/// runners, each sees a few answers only.
ServiceSpeed
RunnerTable::service_speed(std::string_view service, TimePoint now) const
{
    ServiceSpeed speed;
    const auto own = m_speeds.find(service);
    if (own != m_speeds.end())
        speed = {own->second.ratio(now), own->second.mean_time(now),
                 own->second.last()};
    const auto found = m_reported_speeds.find(service);
    if (found == m_reported_speeds.end() ||
        now - found->second.at >= ResponseSpeed::lifetime)
        return speed;
    const ReportedSpeed& others = found->second;
    SpeedEvidence all = others.evidence;
    if (own != m_speeds.end()) {
        const SpeedEvidence evidence = own->second.evidence(now);
        all.answers += evidence.answers;
        all.ratios += evidence.ratios;
    }
    speed.ratio = pooled_ratio(all, 1);
    if (speed.time == Micros{0})
        speed.time = others.time;
    speed.last = std::max(speed.last, others.at);
    return speed;
}

/// Returns the price of a runner's slowness: by this instance's own answers if
/// they are recent, or else by what others report.
double
RunnerTable::slowness_ms(const RunnerEntry& entry,
                         const RunnerQuery& query) const
{
    const TimePoint now = query.now;
    const std::uint64_t draws = draws_for(query.random, entry.listed.id);
    if (stalled_for(entry, now) > Micros{0} &&
        is_drawn(entry.awaited.certainty(now), draws))
        return stalled_ms;
    const double own = price_of(slowness_of(entry, now));
    const ReportedSlowness& reported = entry.reported_slowness;
    if (!reported.counts(draws, now))
        return own;
    if (reported.is_stalled() && entry.speed.last() < reported.at())
        return stalled_ms;
    if (entry.speed.evidence(now).answers >= own_precedence)
        return own;
    const ServiceSpeed service = service_speed(entry.listed.service, now);
    return std::max(own,
                    price_of(service.slowness(reported.ratio(service.ratio))));
}

void
RunnerTable::prefilled(const RunnerIncarnation& runner, std::uint64_t tokens,
                       Micros wait, Micros taken, TimePoint now)
{
    const RunnerEntry* entry = find(runner);
    // Under load, nearly all prompts wait for others that were not known when
    // they were sent. By now, those of other instances have been reported.
    const bool is_alone =
        entry && entry->own.calls <= 1 && entry->others.calls == 0;
    if (is_alone)
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
        report_process(*entry(id), report, now);
    report_services(report, now);
    for (const auto& [service, rate] : m_prefill_rates)
        if (const PrefillSamples samples = rate.samples(now);
            samples.count() > 0)
            report.prefill[service] = samples;
    report.limit();
    return report;
}

/// Adds a process to `report` if it has stalled, or is clearly slow.
void
RunnerTable::report_process(const RunnerEntry& entry, SpeedReport& report,
                            TimePoint now) const
{
    const double mean = service_speed(entry.listed.service, now).ratio;
    const SpeedEvidence evidence = entry.speed.evidence(now);
    const bool is_slow =
        pooled_ratio(evidence, mean) >= min_reported_ratio * mean;
    const bool is_stalled = stalled_for(entry, now) > Micros{0};
    if (!is_stalled && !is_slow)
        return;
    SpeedRow& row = report.slow[process_key(entry.incarnation())];
    row.add(evidence, entry.speed.mean_time(now),
            is_stalled ? Micros{0} : now - entry.speed.last());
    row.stalled = is_stalled ? 1 : 0;
}

/// Adds the services that answer to `report`.
void
RunnerTable::report_services(SpeedReport& report, TimePoint now) const
{
    for (const auto& [service, speed] : m_speeds)
        if (speed.last() != TimePoint{} && now - speed.last() < answering_time)
            report.services[service].add(
                speed.evidence(now), speed.mean_time(now), now - speed.last());
}

void
RunnerTable::apply_speed_report(const SpeedReport& report, TimePoint as_of)
{
    for (const auto& [key, row] : report.slow)
        if (RunnerEntry* entry = find(process_of(key)))
            entry->reported_slowness.apply(row, as_of);
    for (const auto& [service, row] : report.services)
        if (m_index.groups(service))
            m_reported_speeds[service] = {row.evidence(), row.mean_time(),
                                          as_of - row.mean_age()};
    for (const auto& [service, samples] : report.prefill)
        if (m_index.groups(service))
            m_prefill_rates[service].set_others(samples, as_of);
}

} // namespace crosslink
