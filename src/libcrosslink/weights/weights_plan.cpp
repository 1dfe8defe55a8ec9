// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/weights/weights_plan.h>

#include <algorithm>
#include <cmath>

namespace crosslink
{

namespace
{

/// Fraction of the runners that load at once. More of them load more slowly,
/// and prompts on new weights are computed in full: five in six runners
/// continue to serve meanwhile (docs/MEASUREMENTS.md has the figures).
constexpr double usual_load_fraction = 1.0 / 6;
/// Maximum fraction of the runners that load at once, however little time is
/// left.
constexpr double max_load_fraction = 0.4;
/// Typical time of one order: the calls of the runner end, then the weights are
/// loaded. It takes 1.1 to 2.6 s, mostly 1.6 s.
constexpr Micros order_time = std::chrono::milliseconds(1600);
/// This long before the bound, the fraction done_fraction of the runners with
/// the oldest weights should be done. No calls are sent to the rest any more
/// (runner_choice stops a little earlier still): they load without calls.
constexpr Micros finish_margin = std::chrono::milliseconds(1500);
constexpr double done_fraction = 0.55;
constexpr double min_left_s = 0.5;
/// An order is sent again after this time where its runner reports neither that
/// it is busy nor that it is done. An order in progress ends by itself.
constexpr Micros confirmation_timeout = std::chrono::milliseconds(700);
/// Longest time for which an accepted order stays open. The calls of the runner
/// end first, the longest of them by its deadline.
constexpr Micros order_timeout = std::chrono::seconds(6);
/// An open order whose runner answers nothing releases its slot after this
/// time: one lost report takes 0.4 s, and the next one 0.1 s. Without this,
/// silent runners held all slots for seconds.
constexpr Micros silence_timeout = std::chrono::milliseconds(600);
/// Time for which the other instances are informed that a runner has loaded.
/// Runners renew their own list entry about every 1.2 s, and it is read a
/// moment later.
constexpr Micros report_time = std::chrono::seconds(3);
/// Pause before a runner that was busy or refused gets another order. It grows
/// with each consecutive order that failed, so that a runner that fails its
/// orders takes no turns from those that wait behind it.
constexpr Micros retry_pause = std::chrono::milliseconds(400);
constexpr std::uint32_t max_doublings = 3;
/// Pause before the next order to a runner with a request in progress: two
/// rounds of the plan, so that a runner whose request hangs does not take a
/// slot in each round.
constexpr Micros exchange_pause = std::chrono::milliseconds(160);

} // namespace

void
WeightsPlan::follow(std::string_view model, const WeightsHistory& history)
{
    m_models[std::string(model)] = history;
}

/// Returns how many runners should load at once: a fraction of them, and more
/// where those with the oldest weights would not be done in time.
std::size_t
WeightsPlan::load_limit(std::string_view model, const RunnerTable& runners,
                        TimePoint now) const
{
    const WeightsHistory& history = m_models.find(model)->second;
    double all = 0;
    double needed = 0;
    std::map<std::uint64_t, std::uint32_t> outdated; ///< Runners by version.
    for (const auto& [id, entry] : runners.entries()) {
        const std::uint64_t has = entry.version_of(model);
        if (has == 0 || entry.leaves())
            continue;
        ++all;
        if (has < history.newest())
            ++outdated[has];
    }
    double before = 0;
    for (const auto& [version, count] : outdated) {
        before += count;
        const TimePoint end =
            *history.replaced_at(version) + m_bound - finish_margin;
        const double left = std::max(seconds(end - now), min_left_s);
        needed = std::max(needed,
                          done_fraction * before * seconds(order_time) / left);
    }
    const double usual = std::max(1.0, usual_load_fraction * all);
    const double most = std::max(1.0, max_load_fraction * all);
    return static_cast<std::size_t>(
        std::lround(std::clamp(needed, usual, most)));
}

/// Returns the runners that may be ordered to load now, in the order in which
/// they should.
std::vector<const RunnerEntry*>
WeightsPlan::outdated_runners(std::string_view model,
                              const RunnerTable& runners, TimePoint now) const
{
    const std::uint64_t newest = m_models.find(model)->second.newest();
    std::vector<const RunnerEntry*> result;
    for (const auto& [id, entry] : runners.entries()) {
        const std::uint64_t has = entry.version_of(model);
        if (has > 0 && has < newest && !entry.leaves() &&
            !m_open.contains(id) &&
            !must_wait({id, std::string(model)}, newest, now))
            result.push_back(&entry);
    }
    // The oldest weights first: calls to them are the first to be forbidden.
    const auto rank = [model](const RunnerEntry* entry) {
        return std::pair(entry->version_of(model),
                         entry->own.calls + entry->others.calls);
    };
    std::sort(result.begin(), result.end(),
              [&rank](const RunnerEntry* one, const RunnerEntry* other) {
                  return rank(one) < rank(other);
              });
    return result;
}

/// Returns the open order for the runner and the model of `order`; nothing
/// where the runner's order is for another model. A runner takes one order at a
/// time.
WeightsPlan::OpenOrders::iterator
WeightsPlan::find_open(const WeightsOrder& order)
{
    const auto open = m_open.find(order.runner);
    const bool same =
        open != m_open.end() && open->second.order.model == order.model;
    return same ? open : m_open.end();
}

/// Removes the orders that took too long, and those of runners that are gone or
/// have restarted: a new process does not know an order to the earlier one.
void
WeightsPlan::drop_overdue(const RunnerTable& runners, TimePoint now)
{
    std::erase_if(m_open, [&runners](const auto& item) {
        const auto found = runners.entries().find(item.first);
        return found == runners.entries().end() ||
               found->second.listed.start_ms != item.second.order.start_ms;
    });
    std::erase_if(m_retries, [&runners](const auto& item) {
        return !runners.entries().contains(item.first.runner);
    });
    std::erase_if(m_open, [&](const auto& item) {
        const Micros limit =
            item.second.accepted ? order_timeout : confirmation_timeout;
        const bool overdue = now >= item.second.sent_at + limit;
        if (overdue)
            record_failure(item.second.order, now);
        return overdue;
    });
}

/// Returns the retry state for the runner and the model of `order`. Failures of
/// orders for another version don't count.
WeightsPlan::Retry&
WeightsPlan::retry_for(const WeightsOrder& order)
{
    Retry& retry = m_retries[{order.runner, order.model}];
    if (retry.version != order.version)
        retry = {order.version};
    return retry;
}

/// Returns whether a runner must not get another order yet.
bool
WeightsPlan::must_wait(const RunnerModel& runner, std::uint64_t version,
                       TimePoint now) const
{
    const auto retry = m_retries.find(runner);
    return retry != m_retries.end() && retry->second.version == version &&
           now < retry->second.at;
}

/// Records that an order failed. The first one may simply have been lost, and
/// is sent again at once.
void
WeightsPlan::record_failure(const WeightsOrder& order, TimePoint now)
{
    Retry& retry = retry_for(order);
    retry.at = now + retry_pause * ((1 << retry.failures) - 1);
    retry.failures = std::min(retry.failures + 1, max_doublings);
}

/// Delays the next order to a runner by at least `time`.
void
WeightsPlan::delay_retry(const WeightsOrder& order, Micros time, TimePoint now)
{
    Retry& retry = retry_for(order);
    retry.at = std::max(retry.at, now + time);
}

/// Returns how many open orders hold a slot among the runners of `model` that
/// load at once. Orders for other models take none: the larger model would
/// starve the smaller one.
std::size_t
WeightsPlan::slots_taken(std::string_view model, TimePoint now) const
{
    const auto takes_slot = [model, now](const auto& item) {
        const OpenOrder& open = item.second;
        return open.order.model == model &&
               (!open.unanswered || now < open.last_response + silence_timeout);
    };
    return static_cast<std::size_t>(
        std::count_if(m_open.begin(), m_open.end(), takes_slot));
}

std::vector<WeightsOrder>
WeightsPlan::due(const RunnerTable& runners, TimePoint now)
{
    drop_overdue(runners, now);
    std::vector<WeightsOrder> orders;
    for (const auto& [model, history] : m_models) {
        const std::size_t most = load_limit(model, runners, now);
        std::size_t taken = slots_taken(model, now);
        for (const RunnerEntry* entry : outdated_runners(model, runners, now)) {
            if (taken++ >= most)
                break;
            WeightsOrder order{entry->listed.id, entry->listed.start_ms,
                               entry->listed.address, model, history.newest()};
            m_open[order.runner] = {order, now, now};
            orders.push_back(std::move(order));
        }
    }
    return orders;
}

void
WeightsPlan::not_sent(const WeightsOrder& order, TimePoint now)
{
    const auto open = find_open(order);
    if (open == m_open.end())
        return;
    m_open.erase(open);
    delay_retry(order, exchange_pause, now);
}

void
WeightsPlan::ordered(const WeightsOrder& order, OrderOutcome outcome,
                     TimePoint now)
{
    const auto open = find_open(order);
    // The outcome of an earlier order does not apply to one for newer weights.
    if (open == m_open.end() || open->second.order.version != order.version)
        return;
    if (outcome != OrderOutcome::Unknown)
        open->second.record_response(now);
    switch (outcome) {
    case OrderOutcome::Accepted:
        open->second.accept(now);
        break;
    case OrderOutcome::Unknown:
        break;
    case OrderOutcome::AlreadyLoaded:
        m_loaded.push_back({order, now});
        m_open.erase(open);
        m_retries.erase({order.runner, order.model});
        break;
    case OrderOutcome::Refused:
        record_failure(order, now);
        [[fallthrough]];
    case OrderOutcome::Busy:
        m_open.erase(open);
        delay_retry(order, retry_pause, now);
        break;
    }
}

std::vector<WeightsOrder>
WeightsPlan::open() const
{
    std::vector<WeightsOrder> orders;
    for (const auto& [runner, open] : m_open)
        orders.push_back(open.order);
    return orders;
}

std::vector<WeightsOrder>
WeightsPlan::loaded(TimePoint now)
{
    std::erase_if(m_loaded, [now](const Loaded& loaded) {
        return now >= loaded.at + report_time;
    });
    std::vector<WeightsOrder> orders;
    for (const Loaded& loaded : m_loaded)
        orders.push_back(loaded.order);
    return orders;
}

void
WeightsPlan::reported(const WeightsOrder& order, std::uint64_t version,
                      bool busy, TimePoint now)
{
    const auto open = find_open(order);
    if (open == m_open.end())
        return;
    open->second.record_response(now);
    if (busy) {
        open->second.accept(now);
        return;
    }
    const bool done = version >= open->second.order.version;
    // It was accepted and is gone: the runner has restarted meanwhile.
    const bool lost = open->second.accepted &&
                      now > open->second.sent_at + confirmation_timeout;
    if (done) {
        m_loaded.push_back({open->second.order, now});
        m_retries.erase({order.runner, order.model});
    } else if (lost) {
        record_failure(open->second.order, now);
    }
    if (done || lost)
        m_open.erase(open);
}

void
WeightsPlan::report_failed(const WeightsOrder& order)
{
    const auto open = find_open(order);
    if (open != m_open.end())
        open->second.unanswered = true;
}

std::set<std::string, std::less<>>
WeightsPlan::outdated(const RunnerTable& runners) const
{
    std::set<std::string, std::less<>> result;
    for (const auto& [id, entry] : runners.entries()) {
        const auto open = m_open.find(id);
        const bool loads = open != m_open.end() && open->second.accepted;
        if (loads || entry.leaves())
            continue;
        for (const auto& [model, history] : m_models) {
            const std::uint64_t has = entry.version_of(model);
            if (has > 0 && has < history.newest())
                result.insert(id);
        }
    }
    return result;
}

double
WeightsPlan::updated_fraction(const RunnerTable& runners) const
{
    std::size_t all = 0;
    std::size_t changed = 0;
    for (const auto& [id, entry] : runners.entries()) {
        for (const auto& [model, history] : m_models) {
            const std::uint64_t has = entry.version_of(model);
            all += has > 0 ? 1 : 0;
            changed +=
                has >= std::max<std::uint64_t>(history.newest(), 1) ? 1 : 0;
        }
    }
    return all == 0 ? 1
                    : static_cast<double>(changed) / static_cast<double>(all);
}

} // namespace crosslink
