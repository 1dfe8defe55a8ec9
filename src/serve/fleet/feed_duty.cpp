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
constexpr Micros longest_wait = std::chrono::milliseconds(1800);
/// The same where other instances get the changes from this one: they take it
/// for cut off from the platform when it has had no answer for 1.2 s, and the
/// transfer to them takes 0.3 s.
constexpr Micros longest_wait_for_others = std::chrono::milliseconds(400);
/// Pause between two requests, so that changes in quick succession arrive
/// together.
constexpr Micros least_pause = std::chrono::milliseconds(60);
/// The same for an instance without the duty: many may ask at a time, for some
/// seconds, and each answer is billed. Twenty of them that ask every 60 ms
/// during a rollout would make 300 calls a second.
constexpr Micros pause_without_duty = std::chrono::milliseconds(400);
/// Pause between two checks whether other instances still deliver changes.
constexpr Micros look_pause = std::chrono::milliseconds(100);
/// When changes from other instances stop, parents ask the platform at once,
/// and the rest at random times within this span: by then, most of them get
/// changes from a parent again.
constexpr Micros spread = std::chrono::milliseconds(300);
/// Pause after a failed request to the platform's store.
constexpr Micros after_failure_time = std::chrono::milliseconds(250);
/// The same for instances that no other asks: they learn from others when the
/// platform is available again.
constexpr Micros after_failure_below = std::chrono::milliseconds(1000);
/// Longest time for which an instance that is gone stays listed.
constexpr Micros presence_span = std::chrono::seconds(9);
constexpr Micros presence_pause = std::chrono::seconds(3);

} // namespace

FeedDuty::FeedDuty(ForwardState& state, ChangeReceiver& news)
    : m_state(state), m_news(news),
      m_feed("feed", [this] { return feed_round(); }),
      m_presence("presence", [this] { return presence_round(); })
{
}

Micros
FeedDuty::feed_round()
{
    if (const auto pause = leave_to_others())
        return *pause;
    try {
        ask_platform();
        m_lost = false;
        return m_state.has_duty() ? least_pause : pause_without_duty;
    } catch (const Error& failure) {
        if (!m_lost)
            LogLine("platform_lost").field("error", failure.what());
        m_lost = true;
        m_news.lost();
        if (!m_state.map())
            ask_seeds();
        return after_failure();
    }
}

/// Returns how long to wait for changes from other instances; nothing where
/// this instance is to ask the platform itself.
std::optional<Micros>
FeedDuty::leave_to_others()
{
    const TimePoint now = monotonic_now();
    if (m_state.has_duty() || !m_news.place()) {
        m_own_turn.reset();
        return std::nullopt;
    }
    if (m_news.told_in_time(now)) {
        m_own_turn.reset();
        return look_pause;
    }
    if (!m_own_turn) {
        m_own_turn = now;
        LogLine("news_late")
            .field("age_ms",
                   static_cast<std::uint64_t>(m_news.age(now) /
                                              std::chrono::milliseconds(1)));
        if (!m_state.is_parent())
            *m_own_turn += Micros(static_cast<Micros::rep>(
                random_bits() % static_cast<std::uint64_t>(spread.count())));
    }
    if (now < *m_own_turn)
        return std::min(look_pause, *m_own_turn - now);
    return std::nullopt;
}

void
FeedDuty::ask_platform()
{
    const bool asked_by_others = m_state.has_duty() || m_state.is_parent();
    const auto place = m_news.place();
    const Micros longest =
        asked_by_others ? longest_wait_for_others : longest_wait;
    const TimePoint asked = monotonic_now();
    if (!place) {
        m_news.told_by_platform(m_state.ports.feed.read(), asked);
        return;
    }
    const ChangePage page = m_state.ports.feed.wait(*place, longest);
    // The platform sends an answer without changes at the end of the wait, so
    // that it confirms the state as of then. Counted from the request, the
    // state would seem 0.4 s older than it is, and instances two exchanges away
    // would take it for late.
    const bool held_back =
        page.entries.empty() && monotonic_now() >= asked + longest;
    m_news.told_by_platform(page, held_back ? asked + longest : asked);
}

Micros
FeedDuty::after_failure()
{
    const bool is_first = !m_state.map();
    if (is_first || m_state.has_duty() || m_state.is_parent())
        return after_failure_time;
    return after_failure_below;
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
            const ToldNews told = FleetClient(address).news();
            if (!told.page.is_snapshot)
                continue;
            m_news.told_by_instance(told.page, asked - told.age);
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
    if (m_state.stopping)
        return presence_pause;
    m_state.ports.duties.present(m_state.settings.instance_info(),
                                 presence_span);
    return presence_pause;
}

} // namespace crosslink
