// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "weights_duty.h"

#include <adapters/clock.h>
#include <serve/log_line.h>

#include <crosslink/ports/runner_orders.h>

#include <functional>
#include <set>
#include <string_view>

namespace crosslink
{

namespace
{

/// Pause between rounds while orders are due or open: a runner takes most of a
/// second to load weights.
constexpr Micros busy_pause = std::chrono::milliseconds(80);
/// Pause between rounds while there is nothing to do.
constexpr Micros idle_pause = std::chrono::milliseconds(700);

/// Returns the process that sent the report. If the report does not name it,
/// that is the process that got the order.
RunnerIncarnation
incarnation_of(const WeightsOrder& order, const RunnerReport& report)
{
    return {order.runner,
            report.start_ms != 0 ? report.start_ms : order.start_ms};
}

} // namespace

WeightsDuty::WeightsDuty(ForwardState& state)
    : m_state(state), m_plan(state.settings.weights_bound()),
      m_duty(
          "weights", [this] { return round(); }, Duty::Begin::OnStart)
{
}

void
WeightsDuty::start()
{
    if (!m_tasks)
        m_tasks = std::make_unique<RunnerTaskPool>(
            [this](const RunnerTask& task) { run_task(task); });
    m_duty.start();
}

void
WeightsDuty::stop()
{
    m_duty.stop();
    m_tasks.reset();
}

void
WeightsDuty::begin()
{
    m_plan.with([this](WeightsPlan& plan) {
        plan = WeightsPlan(m_state.settings.weights_bound());
    });
    m_silent.with([](auto& silent) { silent.clear(); });
}

std::vector<std::string>
WeightsDuty::loading()
{
    std::vector<std::string> runners;
    m_plan.with([&runners](WeightsPlan& plan) {
        for (const WeightsOrder& order : plan.open())
            runners.push_back(order.runner);
    });
    return runners;
}

std::vector<RunnerWeights>
WeightsDuty::loaded()
{
    std::vector<RunnerWeights> result;
    m_plan.with([&result](WeightsPlan& plan) {
        for (const WeightsOrder& order : plan.loaded(monotonic_now()))
            result.push_back(
                {order.runner, order.start_ms, order.model, order.version});
    });
    return result;
}

std::set<std::string, std::less<>>
WeightsDuty::outdated()
{
    const RunnerTable runners = known_runners();
    return m_plan.with(
        [&runners](const WeightsPlan& plan) { return plan.outdated(runners); });
}

std::map<std::string, TimePoint, std::less<>>
WeightsDuty::silent_runners()
{
    return m_silent.with([](const auto& silent) { return silent; });
}

double
WeightsDuty::updated_fraction()
{
    return m_state.runners.with([this](const RunnerTable& table) {
        return m_plan.with([&table](const WeightsPlan& plan) {
            return plan.updated_fraction(table);
        });
    });
}

Micros
WeightsDuty::round()
{
    if (!m_state.may_act())
        return m_state.has_duty() ? busy_pause : idle_pause;
    const auto weights =
        m_state.fleet.with([](FleetView& view) { return view.weights; });
    const RunnerTable runners = known_runners();
    const TimePoint now = monotonic_now();
    std::vector<WeightsOrder> open;
    const auto due = m_plan.with([&](WeightsPlan& plan) {
        for (const auto& [model, history] : weights)
            plan.follow(model, history);
        open = plan.open();
        return plan.due(runners, now);
    });
    for (const WeightsOrder& order : due)
        submit_order(order);
    for (const WeightsOrder& order : open)
        m_tasks->submit({RunnerTask::Kind::CheckOrder, order});
    return due.empty() && open.empty() ? idle_pause : busy_pause;
}

/// Returns the runners of services that the configuration names.
RunnerTable
WeightsDuty::known_runners()
{
    RunnerTable runners =
        m_state.runners.with([](RunnerTable& table) { return table; });
    keep_known_services(runners);
    return runners;
}

/// Drops the runners of services that the configuration does not name. Such
/// entries come from other writers, and would count against the number of
/// runners that may load at once in a rollout.
void
WeightsDuty::keep_known_services(RunnerTable& runners)
{
    const auto map = m_state.map();
    if (!map)
        return;
    std::set<std::string_view, std::less<>> services;
    for (const auto& [name, engine] : map->engines)
        services.insert(name);
    runners.keep_services(services);
}

/// Queues `order` to be given to its runner. If the queue does not accept it,
/// the order is due again later.
void
WeightsDuty::submit_order(const WeightsOrder& order)
{
    if (m_tasks->submit({RunnerTask::Kind::GiveOrder, order}))
        return;
    m_plan.with(
        [&order](WeightsPlan& plan) { plan.not_sent(order, monotonic_now()); });
}

void
WeightsDuty::run_task(const RunnerTask& task)
{
    if (task.kind == RunnerTask::Kind::GiveOrder)
        give_order(task.order);
    else
        check_order(task.order);
}

/// Records whether the runner of `order` gave a report.
void
WeightsDuty::note_reported(const WeightsOrder& order, bool reported)
{
    const bool is_new = m_silent.with([&](auto& silent) {
        if (!reported)
            return silent.emplace(order.runner, monotonic_now()).second;
        silent.erase(order.runner);
        return false;
    });
    if (is_new)
        LogLine("weights_unreached")
            .field("runner", order.runner)
            .field("version", order.version);
}

/// Asks the runner of `order` for its report, and records whether it announces
/// its exit.
std::optional<RunnerReport>
WeightsDuty::request_report(const WeightsOrder& order)
{
    const auto report = m_state.ports.orders.report(order.address, order.model);
    note_reported(order, report.has_value());
    if (report && report->leaving)
        m_state.note_runner_leaving(incarnation_of(order, *report), "report");
    return report;
}

/// Gives `order` to its runner unless the report shows that the runner is
/// leaving, is busy, or already has the weights.
OrderOutcome
WeightsDuty::give_if_needed(const RunnerReport& report,
                            const WeightsOrder& order)
{
    if (report.leaving)
        return OrderOutcome::Refused;
    if (report.busy)
        return OrderOutcome::Busy;
    if (report.version >= order.version) {
        m_state.note_runner_weights(incarnation_of(order, report), order.model,
                                    report.version, "report");
        return OrderOutcome::AlreadyLoaded;
    }
    const auto token = m_state.acting_token();
    return token ? m_state.ports.orders.give(order, *token, report.orders)
                 : OrderOutcome::Refused;
}

void
WeightsDuty::give_order(const WeightsOrder& order)
{
    const auto report = request_report(order);
    const OrderOutcome outcome =
        report ? give_if_needed(*report, order) : OrderOutcome::Refused;
    LogLine("weights_order")
        .field("runner", order.runner)
        .field("version", order.version)
        .field("outcome", static_cast<int>(outcome));
    m_plan.with([&](WeightsPlan& plan) {
        plan.ordered(order, outcome, monotonic_now());
    });
}

void
WeightsDuty::check_order(const WeightsOrder& order)
{
    const auto report = request_report(order);
    if (!report) {
        m_plan.with([&order](WeightsPlan& plan) { plan.report_failed(order); });
        return;
    }
    if (!report->busy && report->version >= order.version) {
        m_state.note_runner_weights(incarnation_of(order, *report), order.model,
                                    report->version, "report");
        LogLine("weights_loaded")
            .field("runner", order.runner)
            .field("version", report->version);
    }
    m_plan.with([&](WeightsPlan& plan) {
        plan.reported(order, report->version, report->busy, monotonic_now());
    });
}

} // namespace crosslink
