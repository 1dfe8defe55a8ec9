// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "feed_duty.h"

#include "fleet_rpc.h"

#include <adapters/clock.h>
#include <adapters/random.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>
#include <crosslink/ports/duty_registry.h>

#include <algorithm>
#include <cstdint>
#include <string>

namespace crosslink
{

namespace
{

/// Longest wait of one request where no other instance depends on its answer.
/// The platform may stop answering on a connection without closing it, and a
/// change must be in force two seconds after the platform is stable again.
/// Shorter waits would cost more requests, each of which is billed.
constexpr Micros max_wait = std::chrono::milliseconds(1800);
/// The same where other instances get the changes from this one: they take it
/// for cut off from the platform when it has had no answer for 1.2 s, and the
/// transfer to the farthest takes 0.35 s.
constexpr Micros max_wait_of_parent = std::chrono::milliseconds(400);
/// The same for the first request after a failure, or after changes from other
/// instances stopped: it shows whether the platform answers at all.
constexpr Micros no_wait = std::chrono::milliseconds(1);
/// Pause between two requests, so that changes in quick succession arrive
/// together.
constexpr Micros request_pause = std::chrono::milliseconds(60);
/// The same for an instance without the duty: many may ask at a time, for some
/// seconds, and each answer is billed. Twenty of them that ask every 60 ms
/// during a rollout would make 300 calls a second.
constexpr Micros request_pause_without_duty = std::chrono::milliseconds(400);
/// Pause between two checks whether other instances still deliver changes.
constexpr Micros check_pause = std::chrono::milliseconds(100);
/// When changes from other instances stop, parents ask the platform at once,
/// and the rest at random times within a span that grows with the fleet: by
/// then, most of them get changes from a parent again. It ends before a change
/// must be in force.
constexpr Micros min_delay_span = std::chrono::milliseconds(300);
constexpr Micros max_delay_span = std::chrono::milliseconds(1500);
constexpr Micros delay_span_per_instance = std::chrono::milliseconds(2);
/// Pause after the first request that fails: the platform may cut a watch at
/// any time, and answers the next request.
constexpr Micros first_retry_pause = std::chrono::milliseconds(20);
/// Pause after further requests that fail.
constexpr Micros retry_pause = std::chrono::milliseconds(250);
/// The same for instances that no other asks. During an outage they try less
/// often: they learn from others when the platform is available again.
constexpr Micros retry_pause_of_leaf = std::chrono::milliseconds(1000);
/// Longest time for which an instance that is gone stays listed.
constexpr Micros presence_lifetime = std::chrono::seconds(9);
constexpr Micros presence_pause = std::chrono::seconds(3);
/// Random part of that pause: instances that start together must not all write
/// at the same moment when the platform's store is restored.
constexpr Micros presence_jitter = std::chrono::seconds(1);

} // namespace

FeedDuty::FeedDuty(ForwardState& state, ChangeReceiver& changes)
    : m_state(state), m_changes(changes), m_start(random_bits()),
      m_reread(random_bits()), m_feed("feed", [this] { return feed_round(); }),
      m_presence("presence", [this] { return presence_round(); })
{
}

Micros
FeedDuty::feed_round()
{
    if (const auto pause = wait_for_peers())
        return *pause;
    try {
        if (!m_changes.position())
            return learn_first();
        ask_platform();
        m_platform_lost = false;
        m_unconfirmed = false;
        if (m_reread.is_lost(*m_changes.position()))
            return request_pause;
        return m_state.has_duty() ? request_pause : request_pause_without_duty;
    } catch (const Error& failure) {
        const bool is_first = !m_platform_lost;
        if (is_first)
            LogLine("platform_lost").field("error", failure.what());
        m_platform_lost = true;
        m_unconfirmed = true;
        m_changes.note_platform_lost();
        m_state.origin_noted.wake();
        if (!m_state.map())
            ask_seeds();
        if (is_first && failure.code() != ErrorCode::PlatformThrottled)
            return first_retry_pause;
        return failure_pause();
    }
}

/// Learns the platform's data after a start. Returns how long to wait until the
/// next step.
Micros
FeedDuty::learn_first()
{
    const std::string holder = m_state.fleet.with(
        [](const FleetView& view) { return view.coordinator_address(); });
    const bool knows_holder =
        !holder.empty() && holder != m_state.settings.peer_address();
    switch (m_start.next(m_state.has_duty(), knows_holder, monotonic_now())) {
    case StartPlan::Step::ReadUnlessLarge:
        read_unless_large();
        break;
    case StartPlan::Step::ReadAll:
        read_all();
        break;
    case StartPlan::Step::FindHolder:
        set_holder(m_state.ports.feed.coordinator());
        break;
    case StartPlan::Step::AskHolder:
        ask_holder(holder);
        break;
    case StartPlan::Step::Wait:
        break;
    }
    m_platform_lost = false;
    return m_changes.position() ? request_pause : check_pause;
}

void
FeedDuty::read_unless_large()
{
    const TimePoint asked = monotonic_now();
    const FirstLook look = m_state.ports.feed.read_unless_large();
    if (!look.large) {
        m_changes.apply_from_platform(look.page, asked);
        return;
    }
    m_start.found_large();
    m_state.start_parents.with([](auto& parents) { parents.emplace(); });
    set_holder(look.coordinator);
    LogLine("fleet_is_large").field("holder", look.coordinator);
}

void
FeedDuty::read_all()
{
    const TimePoint asked = monotonic_now();
    m_changes.apply_from_platform(m_state.ports.feed.read(), asked);
}

/// Sets the holder of the duty until the platform's data tell it.
void
FeedDuty::set_holder(const std::string& address)
{
    m_state.fleet.with([&](FleetView& view) { view.coordinator = address; });
}

/// Asks the holder of the duty whom this instance polls.
void
FeedDuty::ask_holder(const std::string& holder)
{
    try {
        const auto parents =
            FleetClient(holder).parents_of(m_state.settings.instance_info());
        m_state.start_parents.with([&](auto& named) { named = parents; });
        LogLine("parents_named")
            .field("holder", holder)
            .field("count", static_cast<std::uint64_t>(parents.size()));
        if (parents.empty())
            m_start.holder_failed(monotonic_now());
    } catch (const Error& failure) {
        LogLine("holder_unanswered")
            .field("address", holder)
            .field("error", failure.what());
        m_start.holder_failed(monotonic_now());
    }
}

/// Returns how long to wait for changes from other instances; nothing where
/// this instance is to ask the platform itself.
std::optional<Micros>
FeedDuty::wait_for_peers()
{
    const TimePoint now = monotonic_now();
    if (m_state.has_duty() || !m_changes.position()) {
        m_ask_platform_at.reset();
        return std::nullopt;
    }
    if (m_changes.peers_are_in_time(now)) {
        m_ask_platform_at.reset();
        return check_pause;
    }
    if (!m_ask_platform_at) {
        m_ask_platform_at = now;
        m_unconfirmed = true;
        m_state.origin_noted.wake();
        LogLine("news_late")
            .field("age_ms",
                   static_cast<std::uint64_t>(m_changes.age(now) /
                                              std::chrono::milliseconds(1)));
        if (!m_state.is_parent())
            *m_ask_platform_at += random_delay();
    }
    if (now < *m_ask_platform_at)
        return std::min(check_pause, *m_ask_platform_at - now);
    if (m_reread.must_wait(*m_changes.position(), now))
        return check_pause;
    return std::nullopt;
}

/// Returns how long this instance waits before it asks the platform, although
/// changes are late.
Micros
FeedDuty::random_delay()
{
    const auto instances = static_cast<Micros::rep>(m_state.instance_count());
    const Micros span = std::clamp(instances * delay_span_per_instance,
                                   min_delay_span, max_delay_span);
    return Micros(static_cast<Micros::rep>(
        random_bits() % static_cast<std::uint64_t>(span.count())));
}

void
FeedDuty::ask_platform()
{
    const StorePosition position = *m_changes.position();
    const Micros timeout = longest_wait();
    const TimePoint asked = monotonic_now();
    if (m_reread.is_due(position, m_state.has_duty(), asked)) {
        read_all();
        m_reread.read_all_done();
        return;
    }
    const FeedChanges changes = m_state.ports.feed.wait(position, timeout);
    if (changes.outcome != FeedChanges::Outcome::Received) {
        const bool restored =
            changes.outcome == FeedChanges::Outcome::StoreRestored;
        LogLine(restored ? "store_restored" : "history_lost")
            .field("era", position.era)
            .field("revision", position.revision);
        m_reread.history_lost(position, reread_role(), monotonic_now());
        return;
    }
    // The platform sends an answer without changes at the end of the wait, so
    // that it confirms the state as of then. Counted from the request, the
    // state would seem 0.4 s older than it is, and instances that are several
    // exchanges away would take it for late.
    const bool waited_in_full =
        changes.page.entries.empty() && monotonic_now() >= asked + timeout;
    m_changes.apply_from_platform(changes.page,
                                  waited_in_full ? asked + timeout : asked);
}

/// Returns how long the next request may wait for changes.
Micros
FeedDuty::longest_wait() const
{
    if (m_unconfirmed)
        return no_wait;
    const bool asked_by_others = m_state.has_duty() || m_state.is_parent();
    return asked_by_others ? max_wait_of_parent : max_wait;
}

RereadRole
FeedDuty::reread_role()
{
    RereadRole role;
    role.is_parent = m_state.is_parent();
    role.instances = m_state.instance_count();
    role.runners = m_state.runners.with(
        [](const RunnerTable& table) { return table.entries().size(); });
    return role;
}

Micros
FeedDuty::failure_pause()
{
    const bool without_map = !m_state.map();
    if (without_map || m_state.has_duty() || m_state.is_parent())
        return retry_pause;
    return retry_pause_of_leaf;
}

/// Gets the state of the platform's store from another instance, for a start
/// during an outage of the platform. At worst that state is outdated, and the
/// configuration never reverts.
void
FeedDuty::ask_seeds()
{
    for (const std::string& seed : m_state.settings.seeds) {
        const std::string ip = seed.substr(0, seed.rfind(':'));
        const std::string address =
            ip + ":" + std::to_string(m_state.settings.peer_port);
        if (address == m_state.settings.peer_address())
            continue;
        try {
            const TimePoint asked = monotonic_now();
            const StoreSnapshot snapshot =
                FleetClient(address).store_snapshot();
            if (!snapshot.page.is_snapshot)
                continue;
            m_changes.apply_from_peer(snapshot.page, asked - snapshot.age,
                                      Micros{0});
            LogLine("learned_from_instance").field("address", address);
            return;
        } catch (const Error& failure) {
            LogLine("seed_unanswered")
                .field("address", address)
                .field("error", failure.what());
        }
    }
}

Micros
FeedDuty::presence_round()
{
    if (!m_state.stopping)
        m_state.ports.duties.present(m_state.settings.instance_info(),
                                     presence_lifetime);
    const Micros jitter(static_cast<Micros::rep>(
        random_bits() % static_cast<std::uint64_t>(presence_jitter.count())));
    return presence_pause - presence_jitter / 2 + jitter;
}

} // namespace crosslink
