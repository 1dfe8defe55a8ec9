// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "played_crash_fleet.h"

#include <crosslink/forward/crash_key.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crosslink::testing
{

/// How a fleet is played to which requests with a part are sent that ends
/// runners. Times are as in the fleet's play.
struct PartPlay : CrashFleetPlay {
    std::size_t runners = 12;
    double sound_calls = 30; ///< A second, at all instances together.
    double bad_calls = 4;    ///< The same; 0: no part ends runners.
    std::size_t bad_parts = 1;
    std::size_t subjects = 20;    ///< Second parts; the first ones come most.
    bool bad_is_first = false;    ///< The part that ends runners comes first.
    Micros sound_before{0};       ///< Until then, the part ends no runner.
    std::optional<Micros> wave{}; ///< So often a third of the runners is lost.
};

/// A fleet before runners that end as they would begin to answer a call with
/// one of some parts. No two calls are alike; sound ones share the other parts.
class PlayedParts : public PlayedCrashFleet
{
public:
    explicit PlayedParts(const PartPlay& play)
        : PlayedCrashFleet(play), m_parts(play), m_runners(play.runners)
    {
    }

    /// Returns how often instances in touch sent calls with part `number` to
    /// runners later than its fifth end and the time in which they hear of it.
    std::size_t sent_later(std::size_t number) const
    {
        const auto& ends = m_ends.at(number);
        if (ends.size() < told_ends)
            return 0;
        const TimePoint known = ends[told_ends - 1] + contact;
        const auto& sent = m_sent.at(number);
        return static_cast<std::size_t>(
            std::count_if(sent.begin(), sent.end(),
                          [known](TimePoint at) { return at > known; }));
    }
    /// Returns how many runners ended under part `number`.
    std::size_t ends(std::size_t number) const
    {
        return m_ends.at(number).size();
    }
    /// Returns the part of the sound calls that was refused from `since` on.
    double refused_share(Micros since) const
    {
        std::size_t all = 0;
        std::size_t refused = 0;
        for (const auto& [at, was_refused] : m_sound)
            if (at >= TimePoint{} + since) {
                ++all;
                refused += was_refused ? 1 : 0;
            }
        return all == 0 ? 0 : double(refused) / double(all);
    }

private:
    /// The ends of a part after which instances must hear of it in time.
    static constexpr std::size_t told_ends = 5;
    static constexpr Micros back_after = std::chrono::seconds(3);

    struct Call {
        std::size_t instance = 0;
        std::size_t life = 0; ///< Of that instance.
        std::vector<std::string> keys;
        std::vector<bool> again;
    };
    struct Runner {
        std::uint64_t start_ms = 1;
        TimePoint down_until{};
        std::map<std::size_t, Call> calls; ///< That have not begun.
    };

    static std::string bad_key(std::size_t number)
    {
        return part_crash_key("bad-" + std::to_string(number), "");
    }

    void start_callers() override
    {
        for (std::size_t i = 0; i < m_parts.bad_parts; ++i) {
            m_ends[i];
            m_sent[i];
            if (m_parts.bad_calls > 0)
                in(next_of(m_parts.bad_calls), [this, i] { send_bad(i); });
        }
        in(next_of(m_parts.sound_calls), [this] { send_sound(); });
        if (m_parts.wave)
            in(*m_parts.wave, [this] { lose_runners(); });
    }

    Micros next_of(double a_second)
    {
        const double seconds =
            std::exponential_distribution<>(a_second)(m_random);
        return Micros(static_cast<std::int64_t>(seconds * 1e6));
    }

    std::string subject()
    {
        // The nth subject comes half as often as the one before it.
        const auto number = std::min<std::size_t>(
            std::geometric_distribution<std::size_t>(0.5)(m_random),
            m_parts.subjects);
        return part_crash_key("subject-" + std::to_string(number), "");
    }

    std::string own_digest() { return "call-" + std::to_string(m_next_call++); }

    void send_sound()
    {
        in(next_of(m_parts.sound_calls), [this] { send_sound(); });
        const bool sent =
            send({own_digest(), part_crash_key("all", ""), subject()}, {});
        m_sound.emplace_back(m_now, !sent);
    }

    void send_bad(std::size_t number)
    {
        in(next_of(m_parts.bad_calls), [this, number] { send_bad(number); });
        const std::string other =
            m_parts.bad_is_first ? subject() : part_crash_key("all", "");
        send({own_digest(), other, bad_key(number)}, number);
    }

    /// Sends a call to a runner, unless it is blocked. `bad` is the number of
    /// its part that ends runners.
    bool send(const std::vector<std::string>& keys,
              std::optional<std::size_t> bad)
    {
        const std::size_t number = draw_instance();
        Instance& instance = m_fleet[number];
        const bool blocked =
            std::any_of(keys.begin(), keys.end(), [&](const std::string& key) {
                return instance.history.blocked(key, m_now);
            });
        if (blocked && (number != m_holder || is_cut(instance) ||
                        !instance.history.take_trial(keys, m_now)))
            return false;
        const auto runner = draw_runner();
        if (!runner)
            return true; // Not for what it holds.
        Call call{number, instance.life, keys, {}};
        for (const std::string& key : keys)
            call.again.push_back(instance.history.ends(key) > 0);
        const std::size_t id = m_next_call++;
        m_runners[*runner].calls[id] = call;
        if (bad && in_touch(instance))
            m_sent[*bad].push_back(m_now);
        const std::uint64_t life = m_runners[*runner].start_ms;
        const bool ends_it = bad && m_now >= TimePoint{} + m_parts.sound_before;
        in(between(30, 300), [=, this] {
            begin(*runner, life, id, ends_it ? bad : std::nullopt);
        });
        return true;
    }

    std::optional<std::size_t> draw_runner()
    {
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < m_runners.size(); ++i)
            if (m_now >= m_runners[i].down_until)
                up.push_back(i);
        if (up.empty())
            return std::nullopt;
        return up[std::uniform_int_distribution<std::size_t>(0, up.size() - 1)(
            m_random)];
    }

    /// A runner begins to answer a call, or ends under it.
    void begin(std::size_t number, std::uint64_t life, std::size_t id,
               std::optional<std::size_t> bad)
    {
        Runner& runner = m_runners[number];
        if (runner.start_ms != life)
            return;
        if (bad) {
            m_ends[*bad].push_back(m_now);
            end_runner(number);
            return;
        }
        const Call call = runner.calls.at(id);
        runner.calls.erase(id);
        in(between(1, 10), [this, call] {
            Instance& sender = m_fleet[call.instance];
            if (sender.life != call.life)
                return;
            for (const std::string& key : call.keys)
                sender.history.answered(key, m_now, m_now);
        });
    }

    void end_runner(std::size_t number)
    {
        Runner& runner = m_runners[number];
        for (const auto& [id, call] : runner.calls)
            tell_end(call, "runner-" + std::to_string(number), runner.start_ms);
        runner.calls.clear();
        ++runner.start_ms;
        runner.down_until = m_now + back_after;
    }

    /// The instance that sent a call sees its runner's end.
    void tell_end(const Call& call, const std::string& runner,
                  std::uint64_t start_ms)
    {
        const TimePoint ended_at = m_now;
        in(between(1, 10), [=, this] {
            Instance& sender = m_fleet[call.instance];
            if (sender.life != call.life)
                return;
            for (std::size_t i = 0; i < call.keys.size(); ++i)
                sender.history.ended(
                    {call.keys[i], runner, start_ms, call.again[i], ended_at},
                    m_now);
        });
    }

    /// A third of the runners is lost, whatever they run.
    void lose_runners()
    {
        in(*m_parts.wave, [this] { lose_runners(); });
        for (std::size_t i = 0; i < m_runners.size(); ++i)
            if (m_now >= m_runners[i].down_until && between(0, 2).count() == 0)
                end_runner(i);
    }

    const PartPlay m_parts;
    std::vector<Runner> m_runners;
    std::map<std::size_t, std::vector<TimePoint>> m_ends; ///< Of each bad part.
    std::map<std::size_t, std::vector<TimePoint>> m_sent; ///< In touch only.
    std::vector<std::pair<TimePoint, bool>> m_sound;      ///< Whether refused.
    std::size_t m_next_call = 0;
};

} // namespace crosslink::testing
