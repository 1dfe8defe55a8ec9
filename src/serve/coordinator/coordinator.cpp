// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "coordinator.h"

#include <adapters/clock.h>
#include <adapters/random.h>
#include <serve/fleet/fleet_rpc.h>
#include <serve/forward/runner_look.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>
#include <crosslink/membership/fleet_tree.h>
#include <crosslink/membership/lease_renewal.h>
#include <crosslink/membership/rendezvous.h>
#include <crosslink/ports/duty_registry.h>

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

namespace crosslink
{

namespace
{

constexpr const char* duty_name = "steward";
/// Delay between the attempts of two instances to take a free duty.
constexpr Micros takeover_step = std::chrono::milliseconds(40);
/// Instances of this rank and later ones try at the same time.
constexpr std::size_t last_rank = 6;
/// Extra delay of instances with weak links, which leaves the duty to others.
constexpr Micros weak_link_wait = std::chrono::milliseconds(500);
/// Pauses between attempts to take the duty that failed, in a large fleet or
/// where the platform turns calls away for their rate.
constexpr Micros first_take_pause = std::chrono::milliseconds(400);
constexpr Micros longest_take_pause = std::chrono::seconds(2);
/// A holder that reaches no runner for this time gives the duty up. It costs
/// the next one a reading of all stores.
constexpr Micros yield_after = std::chrono::seconds(1);
/// A holder that passed the duty on leaves it to others for this time, which is
/// longer than the shortest term of the next one.
constexpr Micros yielded_time = std::chrono::seconds(8);
/// An instance that was offered the duty tries before others for this time.
constexpr Micros offer_time = std::chrono::seconds(2);

} // namespace

Coordinator::Coordinator(ForwardState& state)
    : m_state(state), m_weights(state), m_rollouts(state), m_blocks(state),
      m_software(state), m_kept(state, m_weights),
      m_placement(state, m_weights,
                  [this](const InstanceInfo& peer) { pass_on(peer); }),
      m_take_backoff(first_take_pause, longest_take_pause),
      m_lease_duty("steward_lease", [this] { return lease_round(); })
{
}

Micros
Coordinator::lease_round()
{
    const Micros span = m_state.settings.lease();
    const Micros pause = LeaseRenewal(span).pause();
    if (must_yield())
        yield();
    if (m_state.stopping || is_release_due()) {
        release_when_due();
        return pause;
    }
    const bool may_be_own = m_state.coordinator_lease.with(
        [](DutyLease& lease) { return lease.token() != 0; });
    if (!may_be_own)
        stop_idle_threads();
    if (!may_be_own && !may_take_duty())
        return pause;
    try {
        const bool lost = !hold_duty(span) && may_be_own;
        return lost ? LeaseRenewal(span).retry_delay() : pause;
    } catch (const Error& failure) {
        LogLine("duty_not_held").field("error", failure.what());
        const bool crowded =
            failure.code() == ErrorCode::PlatformThrottled || in_large_fleet();
        return crowded && !may_be_own ? m_take_backoff.next(random_bits())
                                      : LeaseRenewal(span).retry_delay();
    }
}

/// Returns whether another instance should have the duty: this one reaches
/// neither runners nor stores of prompt parts, and others do, or one was found
/// that reaches runners which this one misses.
bool
Coordinator::must_yield()
{
    if (!m_state.has_duty())
        return false;
    if (m_successor.with([](const auto& next) { return next.has_value(); }))
        return true;
    const bool presumed = m_state.paths.with([](const RunnerPaths& paths) {
        return paths.all_cut_for(monotonic_now()) >= yield_after;
    });
    // A few cut runners stand for all. The next holder may miss them too, while
    // PlacementDuty finds one that reaches them.
    return presumed && !reaches_others(m_state, {});
}

void
Coordinator::yield()
{
    const std::string successor = m_successor.with(
        [](const auto& next) { return next ? next->name : std::string(); });
    LogLine("duty_yielded").field("duty", duty_name).field("to", successor);
    resign();
    if (!successor.empty())
        m_yielded_until = monotonic_now() + yielded_time;
    // Taken again under the same token, the duty begins anew.
    m_last_token = 0;
}

/// Leaves the duty to `successor`.
void
Coordinator::pass_on(const InstanceInfo& successor)
{
    m_successor.with([&successor](auto& next) { next = successor; });
    m_lease_duty.wake();
}

/// Offers the duty to the instance that is to have it next. Another one may
/// take it where that is not heard.
void
Coordinator::offer_to(const InstanceInfo& successor, bool is_free)
{
    try {
        FleetClient(successor.address).offer_duty(is_free);
    } catch (const Error& failure) {
        LogLine("duty_not_offered")
            .field("instance", successor.name)
            .field("error", failure.what());
    }
}

void
Coordinator::offer_duty(bool is_free)
{
    m_offered_until.with(
        [](TimePoint& until) { until = monotonic_now() + offer_time; });
    m_told_free = is_free;
    if (is_free)
        m_lease_duty.wake();
}

/// Returns whether the lease is to be released.
bool
Coordinator::is_release_due()
{
    return m_release_at.with([](const auto& at) { return at.has_value(); });
}

/// Returns whether so many instances may try for a free duty that together they
/// exceed the platform's rate.
bool
Coordinator::in_large_fleet()
{
    const bool starts_in_one = m_state.start_parents.with(
        [](const auto& parents) { return parents.has_value(); });
    return starts_in_one || m_state.instance_count() > max_children;
}

/// Takes the lease of the duty, or renews it. Returns whether this instance has
/// it.
bool
Coordinator::hold_duty(Micros span)
{
    const TimePoint asked = monotonic_now();
    const auto lease = m_state.ports.duties.hold(
        duty_name, m_state.settings.peer_address(), span);
    if (!lease) {
        m_state.coordinator_lease.with([](DutyLease& mine) { mine.lost(); });
        return false;
    }
    const bool taken = lease->token != m_last_token;
    if (taken) {
        m_last_token = lease->token;
        m_take_backoff.reset();
        begin_duty();
    }
    const bool granted = m_state.coordinator_lease.with([&](DutyLease& mine) {
        if (!m_state.stopping)
            mine.granted(lease->token, asked, lease->span, lease->origin);
        return !m_state.stopping;
    });
    // A stop began in the meantime and found no lease to release.
    if (!granted)
        schedule_release();
    m_kept.adopt_stores();
    if (taken) {
        m_weights.wake();
        m_kept.wake();
        m_software.wake();
    }
    record_settled(lease->origin);
    record_acting();
    return true;
}

/// Records, once it may act, that no earlier holder of the duty can act any
/// more.
void
Coordinator::record_settled(LeaseOrigin origin)
{
    if (origin == LeaseOrigin::StoreRestored ||
        origin == LeaseOrigin::Continued)
        m_settle_due = true;
    if (!m_settle_due || !m_state.may_act())
        return;
    m_state.ports.duties.record_settled(duty_name);
    m_settle_due = false;
    LogLine("duty_settled").field("duty", duty_name);
}

/// Records, once it may act, that a later process of this instance need not
/// wait for earlier holders.
void
Coordinator::record_acting()
{
    if (m_acting_token == m_last_token || !m_state.may_act())
        return;
    m_state.ports.duties.record_acting(duty_name);
    m_acting_token = m_last_token;
}

/// Returns whether this instance should try to take the duty. It does not try
/// while another instance holds it. Instances try one after the other, so that
/// the platform gets few calls; this function waits until it is the turn of
/// this instance.
bool
Coordinator::may_take_duty()
{
    const auto holder = [this] {
        return m_state.fleet.with(
            [](FleetView& view) { return view.coordinator; });
    };
    const bool out_of_reach = m_state.paths.with(
        [](const RunnerPaths& paths) { return paths.all_cut(); });
    const TimePoint now = monotonic_now();
    if (out_of_reach || now < m_yielded_until)
        return false;
    // The platform's word of it may come later.
    if (m_told_free.exchange(false))
        return true;
    const std::string known = holder();
    // The holder is an earlier process at this address, which is gone.
    if (known == m_state.settings.peer_address())
        return true;
    if (!known.empty())
        return false;
    const bool offered = m_offered_until.with(
        [now](const TimePoint& until) { return now < until; });
    if (offered)
        return true;
    const bool first = !m_state.fleet.with(
        [](FleetView& view) { return view.runners_listed; });
    const Micros wait = takeover_wait(first);
    if (wait.count() == 0)
        return true;
    std::this_thread::sleep_for(wait);
    return holder().empty();
}

/// Returns how long this instance leaves a free duty to other instances.
/// `first` is true if it does not know the other instances yet.
Micros
Coordinator::takeover_wait(bool first)
{
    const Micros link_wait = m_state.settings.link_mbps < strong_link_mbps
                                 ? weak_link_wait
                                 : Micros{0};
    if (first)
        return link_wait;
    // The first step is for an instance that was offered the duty.
    return link_wait + takeover_step * static_cast<int>(1 + takeover_rank());
}

std::size_t
Coordinator::takeover_rank()
{
    return m_state.fleet.with([this](FleetView& view) {
        const bool strong = m_state.settings.link_mbps >= strong_link_mbps;
        // Those with weak links begin later, and do not count before strong
        // ones: else all strong ones of a large fleet would be late in the
        // order, and try at the same time.
        std::vector<std::string> names;
        for (const auto& [name, instance] : view.instances)
            if (!strong || instance.link_mbps >= strong_link_mbps)
                names.push_back(name);
        const auto order = rendezvous_order(duty_name, names);
        const auto own =
            std::find(order.begin(), order.end(), m_state.settings.name);
        return std::min(static_cast<std::size_t>(own - order.begin()),
                        last_rank);
    });
}

void
Coordinator::begin_duty()
{
    LogLine("duty_taken").field("duty", duty_name).field("token", m_last_token);
    m_weights.begin();
    m_kept.begin(m_last_token);
    m_weights.start();
    m_rollouts.start();
    m_blocks.start();
    m_software.start();
    m_kept.start();
    m_placement.start();
    // A question of an earlier term may have ended until then.
    m_successor.with([](auto& next) { next.reset(); });
    m_threads_run = true;
}

/// Ends the threads of the work under the duty once this instance answers no
/// more. Without this, each instance that ever held the duty would keep one for
/// each store.
void
Coordinator::stop_idle_threads()
{
    if (!m_threads_run || m_state.may_answer_kept(monotonic_now()))
        return;
    m_placement.stop();
    m_weights.stop();
    m_rollouts.stop();
    m_blocks.stop();
    m_software.stop();
    m_kept.stop();
    m_threads_run = false;
}

bool
Coordinator::may_answer() const
{
    if (m_state.has_duty())
        return true;
    const bool other = m_state.fleet.with([this](FleetView& view) {
        const std::string& address = view.coordinator_address();
        return !address.empty() && address != m_state.settings.peer_address();
    });
    return !other && m_state.may_answer_kept(monotonic_now());
}

/// Returns the current time if this instance may answer now, and throws
/// Error(LeaseLost) otherwise. The validity of an answer must count from this
/// time, since the process may be suspended at any point.
TimePoint
Coordinator::require_may_answer() const
{
    const TimePoint now = monotonic_now();
    if (!m_state.may_answer_kept(now))
        throw Error(ErrorCode::LeaseLost, "another instance has the duty");
    return now;
}

bool
Coordinator::stop_answering(std::uint64_t token, const std::string& address)
{
    const bool stopped = m_kept.stop_answering(token);
    // The platform may be unreachable and not have reported the new holder.
    if (stopped)
        m_state.fleet.with(
            [&](FleetView& view) { view.peer_reported_coordinator = address; });
    return stopped;
}

KeptAnswer
Coordinator::find_kept_parts(const KeptSpace& space,
                             std::span<const PromptPart> parts, Micros longest)
{
    const TimePoint now = require_may_answer();
    return m_kept.locate(space, parts, longest, now);
}

ExchangeResponse
Coordinator::exchange(const ExchangeRequest& request)
{
    const TimePoint now = require_may_answer();
    ExchangeResponse response;
    response.others = m_loads.with([&](LoadAggregator& board) {
        board.record_report(request.instance, request.load, now);
        return board.others(request.instance, now);
    });
    response.usage = m_usage.with([&](UsageAggregator& usage) {
        usage.record_report(request.instance, request.usage, now);
        return usage.others(request.instance, now);
    });
    response.speed = m_speeds.with([&](SpeedAggregator& speeds) {
        speeds.record_report(request.instance, request.speed, now);
        return speeds.others(request.instance, now);
    });
    m_state.merge_peer_report(request.weights, now);
    response.weights = m_state.weights_ages(now);
    response.platform_reached = m_state.reaches_platform();
    // Without the duty, this instance does not ask runners whether they have
    // finished loading: they would get no calls for as long as it reported
    // them as loading.
    if (m_state.may_act())
        response.loading = m_weights.loading();
    response.loaded = m_weights.loaded();
    response.kept =
        m_kept.update_since(request.kept_term, request.kept_place, now);
    return response;
}

void
Coordinator::cancel_saves(const std::string& space,
                          std::span<const PromptPart> parts)
{
    m_kept.cancel_saves(space, parts);
}

void
Coordinator::fleet_changed()
{
    bool free = false;
    std::map<std::string, std::uint64_t> newest;
    std::uint64_t map = 0;
    m_state.fleet.with([&](FleetView& view) {
        free = view.coordinator.empty();
        map = view.map ? view.map->version : 0;
        for (const auto& [model, history] : view.weights)
            newest[model] = history.newest();
    });
    if (free || map != m_seen_map)
        m_lease_duty.wake();
    m_seen_map = map;
    if (newest != m_seen_weights) {
        m_weights.wake();
        m_rollouts.wake();
    }
    m_seen_weights = newest;
    if (m_state.software.with([](const SoftwareHistory& history) {
            return !history.to_record(monotonic_now()).empty();
        }))
        m_software.wake();
}

void
Coordinator::resign()
{
    const bool held = m_state.coordinator_lease.with([](DutyLease& lease) {
        const bool mine = lease.held(monotonic_now());
        lease.lost();
        return mine;
    });
    if (held)
        schedule_release();
}

/// The next holder assumes that this one did not act in the unused part of its
/// lease. The lease is therefore released only after as long without an action.
/// When it was released at once, orders of the two holders were 2.8 s apart
/// instead of the required 3 s.
void
Coordinator::schedule_release()
{
    const TimePoint due =
        monotonic_now() + DutyLease::safety_margin(m_state.settings.lease());
    m_release_at.with([due](auto& at) {
        if (!at)
            at = due;
    });
}

void
Coordinator::release_when_due()
{
    const bool due = m_release_at.with([](auto& at) {
        const bool now = at && monotonic_now() >= *at;
        if (now)
            at.reset();
        return now;
    });
    if (!due)
        return;
    const auto successor = m_successor.with(
        [](auto& next) { return std::exchange(next, std::nullopt); });
    if (successor)
        offer_to(*successor, false);
    try {
        m_state.ports.duties.release(duty_name);
    } catch (const Error& failure) {
        LogLine("duty_not_released").field("error", failure.what());
    }
    if (successor)
        offer_to(*successor, true);
}

} // namespace crosslink
