// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "steward.h"

#include <adapters/clock.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>
#include <crosslink/membership/rendezvous.h>
#include <crosslink/ports/duty_registry.h>
#include <crosslink/ports/kept_stores.h>
#include <crosslink/ports/runner_orders.h>

#include <algorithm>
#include <thread>

namespace crosslink
{

namespace
{

constexpr const char* duty_name = "steward";
/// The lease is extended this often in its span.
constexpr int extensions_per_lease = 5;
/// Between the tries of two instances for a duty that became free.
constexpr Micros takeover_step = std::chrono::milliseconds(40);
/// Instances beyond this one try at the same time.
constexpr std::size_t last_rank = 6;
/// Rounds of the weights plan while it has something to do: a runner's load
/// takes most of a second.
constexpr Micros weights_pause = std::chrono::milliseconds(80);
/// Rounds of duties that have nothing to do.
constexpr Micros idle_pause = std::chrono::milliseconds(700);
constexpr Micros free_pause = std::chrono::milliseconds(500);
/// Pause between two questions for a store's changes, so that several come
/// together. A part is fetched that much later after its save at most.
constexpr Micros changes_pause = std::chrono::milliseconds(40);
constexpr Micros changes_wait = std::chrono::milliseconds(900);
constexpr Micros store_failed_pause = std::chrono::milliseconds(300);
/// An order must reach its runner well before the lease can lapse.
constexpr Micros order_time = std::chrono::milliseconds(700);
/// Beyond a call's own time, for the last bytes of a save.
constexpr Micros save_slack = std::chrono::seconds(1);

} // namespace

Steward::Steward(ForwardState& state)
    : m_state(state), m_plan(state.settings.weights_bound())
{
    m_weights_duty =
        std::make_unique<Duty>("weights", [this] { return weights_round(); });
    m_free_duty =
        std::make_unique<Duty>("kept_free", [this] { return free_round(); });
    m_lease_duty = std::make_unique<Duty>("steward_lease",
                                          [this] { return lease_round(); });
}

Steward::~Steward()
{
    m_lease_duty.reset();
    m_store_duties.clear();
}

bool
Steward::acting() const
{
    return m_state.steward_lease.with([](DutyLease& lease) {
        return lease.time_left(monotonic_now()) > order_time;
    });
}

bool
Steward::holds_duty() const
{
    return m_state.steward_lease.with(
        [](DutyLease& lease) { return lease.held(monotonic_now()); });
}

Micros
Steward::lease_round()
{
    const Micros span = m_state.settings.lease();
    const Micros pause = span / extensions_per_lease;
    if (m_state.stopping)
        return pause;
    // While another instance holds the duty, only its end is waited for.
    // Instances try one after the other, so that few calls are made.
    const bool held = holds_duty();
    const bool taken = m_state.fleet.with(
        [](FleetView& view) { return !view.steward.empty(); });
    if (!held && taken)
        return pause;
    if (!held && m_state.fleet.with([](FleetView& v) { return v.listed; })) {
        std::this_thread::sleep_for(takeover_step *
                                    static_cast<int>(takeover_rank()));
        if (m_state.fleet.with([](FleetView& v) { return !v.steward.empty(); }))
            return pause;
    }
    const TimePoint asked = monotonic_now();
    const auto lease = m_state.ports.duties.hold(
        duty_name, m_state.settings.peer_address(), span);
    if (!lease) {
        m_state.steward_lease.with([](DutyLease& mine) { mine.lost(); });
        return pause;
    }
    if (lease->token != m_last_token) {
        m_last_token = lease->token;
        took_duty();
    }
    m_state.steward_lease.with([&](DutyLease& mine) {
        mine.granted(lease->token, asked, lease->span);
    });
    follow_map();
    return pause;
}

std::size_t
Steward::takeover_rank()
{
    return m_state.fleet.with([this](FleetView& view) {
        std::vector<std::string> names;
        for (const auto& [name, address] : view.instances)
            names.push_back(name);
        const auto order = rendezvous_order(duty_name, names);
        const auto own =
            std::find(order.begin(), order.end(), m_state.settings.name);
        return std::min(static_cast<std::size_t>(own - order.begin()),
                        last_rank);
    });
}

void
Steward::took_duty()
{
    LogLine("duty_taken").field("duty", duty_name).field("token", m_last_token);
    m_plan.with([this](WeightsPlan& plan) {
        plan = WeightsPlan(m_state.settings.weights_bound());
    });
    m_kept.with([this](Kept& kept) {
        kept.directory.begin(m_last_token, monotonic_now());
        kept.next.clear();
    });
}

void
Steward::follow_map()
{
    const auto map = m_state.map();
    if (!map)
        return;
    const bool changed = m_kept.with([&](Kept& kept) {
        if (kept.map_version == map->version)
            return false;
        kept.map_version = map->version;
        kept.directory.set_stores(map->stores);
        return true;
    });
    if (!changed)
        return;
    std::map<std::string, std::unique_ptr<Duty>> duties;
    for (const KeptStoreInfo& store : map->stores) {
        if (!store.managed)
            continue;
        auto& duty = duties[store.address];
        const auto known = m_store_duties.find(store.address);
        if (known != m_store_duties.end())
            duty = std::move(known->second);
        else
            duty = std::make_unique<Duty>("kept_store",
                                          [this, address = store.address] {
                                              return store_round(address);
                                          });
    }
    m_store_duties = std::move(duties);
}

Micros
Steward::weights_round()
{
    if (!acting())
        return holds_duty() ? weights_pause : idle_pause;
    const auto weights =
        m_state.fleet.with([](FleetView& view) { return view.weights; });
    const RunnerTable runners =
        m_state.runners.with([](RunnerTable& table) { return table; });
    const TimePoint now = monotonic_now();
    std::vector<WeightsOrder> open;
    const auto due = m_plan.with([&](WeightsPlan& plan) {
        for (const auto& [model, history] : weights)
            plan.follow(model, history);
        open = plan.open();
        return plan.due(runners, now);
    });
    for (const WeightsOrder& order : due)
        give_order(order);
    for (const WeightsOrder& order : open)
        ask_runner(order);
    return due.empty() && open.empty() ? idle_pause : weights_pause;
}

void
Steward::give_order(const WeightsOrder& order)
{
    const auto report = m_state.ports.orders.report(order.address, order.model);
    OrderOutcome outcome = OrderOutcome::Refused;
    if (report && report->busy) {
        outcome = OrderOutcome::Busy;
    } else if (report && report->version >= order.version) {
        outcome = OrderOutcome::InForce;
        m_state.runners.with([&](RunnerTable& table) {
            table.has_version(order.runner, order.model, report->version);
        });
    } else if (report && acting()) {
        const std::uint64_t token = m_state.steward_lease.with(
            [](DutyLease& lease) { return lease.token(); });
        outcome = m_state.ports.orders.give(order, token, report->orders);
    }
    LogLine("weights_order")
        .field("runner", order.runner)
        .field("version", order.version)
        .field("outcome", static_cast<int>(outcome));
    m_plan.with([&](WeightsPlan& plan) {
        plan.ordered(order, outcome, monotonic_now());
    });
}

void
Steward::ask_runner(const WeightsOrder& order)
{
    const auto report = m_state.ports.orders.report(order.address, order.model);
    if (!report)
        return;
    if (!report->busy && report->version >= order.version) {
        m_state.runners.with([&](RunnerTable& table) {
            table.has_version(order.runner, order.model, report->version);
        });
        LogLine("weights_loaded")
            .field("runner", order.runner)
            .field("version", report->version);
    }
    m_plan.with([&](WeightsPlan& plan) {
        plan.reported(order.runner, report->version, report->busy,
                      monotonic_now());
    });
}

Micros
Steward::free_round()
{
    if (!acting())
        return idle_pause;
    const auto oldest = m_state.runners.with([](RunnerTable& table) {
        std::map<std::string, std::uint64_t, std::less<>> versions;
        for (const auto& [id, entry] : table.entries())
            for (const LoadedModel& loaded : entry.listed.models) {
                const auto place =
                    versions.try_emplace(loaded.model, loaded.version).first;
                place->second = std::min(place->second, loaded.version);
            }
        return versions;
    });
    const auto obsolete = [&oldest](const KeptSpace& space) {
        const auto found = oldest.find(space.model);
        return found != oldest.end() && space.version < found->second;
    };
    const RunnerTable runners =
        m_state.runners.with([](RunnerTable& table) { return table; });
    const double changed = m_plan.with(
        [&](WeightsPlan& plan) { return plan.changed_part(runners); });
    RunnerMillis clock = 0;
    const auto frees = m_kept.with([&](Kept& kept) {
        const TimePoint now = monotonic_now();
        clock = kept.directory.runner_clock(now);
        return kept.directory.due(obsolete, changed, now);
    });
    const Micros left = m_state.steward_lease.with(
        [](DutyLease& lease) { return lease.time_left(monotonic_now()); });
    const RunnerMillis until =
        clock + static_cast<RunnerMillis>(left / std::chrono::milliseconds(1));
    for (const KeptFree& free : frees) {
        LogLine("kept_free")
            .field("store", free.store)
            .field("parts", static_cast<std::uint64_t>(free.parts.size()));
        m_state.ports.stores.free(free, until);
    }
    return free_pause;
}

Micros
Steward::store_round(const std::string& address)
{
    if (!holds_duty())
        return idle_pause;
    std::uint64_t after = 0;
    const bool list = m_kept.with([&](Kept& kept) {
        const auto next = kept.next.find(address);
        if (next == kept.next.end())
            return true;
        after = next->second;
        return kept.directory.wants_listing(address, monotonic_now());
    });
    try {
        if (list) {
            const KeptListing listing = m_state.ports.stores.list(address);
            m_kept.with([&](Kept& kept) {
                kept.directory.listed(address, listing, monotonic_now());
                kept.next[address] = listing.next;
            });
            LogLine("kept_listed")
                .field("store", address)
                .field("whole",
                       static_cast<std::uint64_t>(listing.whole.size()))
                .field("broken",
                       static_cast<std::uint64_t>(listing.broken.size()));
            return changes_pause;
        }
        const KeptChanges changes =
            m_state.ports.stores.changes(address, after, changes_wait);
        m_kept.with([&](Kept& kept) {
            if (kept.directory.changed(address, changes, monotonic_now()))
                kept.next[address] = changes.next;
            else
                kept.next.erase(address);
        });
        return changes_pause;
    } catch (const Error& failure) {
        LogLine("kept_store_unreachable")
            .field("store", address)
            .field("error", failure.what());
        m_kept.with([&](Kept& kept) {
            kept.directory.unreachable(address);
            kept.next.erase(address);
        });
        return store_failed_pause;
    }
}

KeptAnswer
Steward::ask_kept(const KeptSpace& space, std::span<const PromptPart> parts,
                  Micros longest)
{
    const TimePoint now = monotonic_now();
    if (!holds_duty())
        throw Error(ErrorCode::LeaseLost, "another instance has the duty");
    return m_kept.with([&](Kept& kept) {
        return kept.directory.ask(space, parts, longest + save_slack, now);
    });
}

ExchangeAnswer
Steward::exchange(const ExchangeQuestion& question)
{
    if (!holds_duty())
        throw Error(ErrorCode::LeaseLost, "another instance has the duty");
    const TimePoint now = monotonic_now();
    ExchangeAnswer answer;
    answer.others = m_loads.with([&](LoadBoard& board) {
        board.told(question.instance, question.load, now);
        return board.others(question.instance, now);
    });
    m_plan.with([&answer](WeightsPlan& plan) {
        for (const WeightsOrder& order : plan.open())
            answer.loading.push_back(order.runner);
    });
    answer.kept = m_kept.with([&](Kept& kept) {
        return kept.directory.update_since(question.kept_term,
                                           question.kept_place, now);
    });
    return answer;
}

void
Steward::not_saved(const std::string& space, std::span<const PromptPart> parts)
{
    m_kept.with([&](Kept& kept) {
        for (const PromptPart& part : parts)
            kept.directory.not_saved({space, part.id, part.tokens});
    });
}

void
Steward::fleet_changed()
{
    bool free = false;
    std::map<std::string, std::uint64_t> newest;
    m_state.fleet.with([&](FleetView& view) {
        free = view.steward.empty();
        for (const auto& [model, history] : view.weights)
            newest[model] = history.newest();
    });
    if (free)
        m_lease_duty->nudge();
    if (newest != m_seen_weights)
        m_weights_duty->nudge();
    m_seen_weights = newest;
}

void
Steward::give_up()
{
    const bool held = m_state.steward_lease.with([](DutyLease& lease) {
        const bool mine = lease.held(monotonic_now());
        lease.lost();
        return mine;
    });
    if (!held)
        return;
    try {
        m_state.ports.duties.release(duty_name);
    } catch (const Error& failure) {
        LogLine("duty_not_released").field("error", failure.what());
    }
}

} // namespace crosslink
