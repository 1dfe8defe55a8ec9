// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "played_crash_fleet.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crosslink::testing
{

/// How a fleet is played to which one request is sent again and again.
struct CrashPlay : CrashFleetPlay {
    std::size_t callers = 1; ///< That send the request at once.
    /// Where it is told, the request is harmless, and so often some runners
    /// are lost for another reason.
    std::optional<Micros> lost_each{};
};

/// A fleet in which one request ends each runner that runs it; its callers send
/// it again at any instance.
class PlayedCrashes : public PlayedCrashFleet
{
public:
    explicit PlayedCrashes(const CrashPlay& play)
        : PlayedCrashFleet(play), m_callers(play.callers),
          m_lost_each(play.lost_each)
    {
    }

    /// Returns how often instances in touch sent the request to a runner later
    /// than the third end and the time in which they hear of it.
    std::size_t sent_later() const
    {
        if (m_ends.size() < CrashHistory::most_ends)
            return 0;
        const TimePoint known = m_ends[CrashHistory::most_ends - 1] + contact;
        return static_cast<std::size_t>(
            std::count_if(m_sent.begin(), m_sent.end(),
                          [known](TimePoint at) { return at > known; }));
    }
    std::size_t ends() const { return m_ends.size(); }
    std::size_t refused() const { return m_refused; }
    /// Returns whether an instance would send the request to no runner now.
    bool any_blocked() const
    {
        return std::any_of(m_fleet.begin(), m_fleet.end(),
                           [this](const Instance& instance) {
                               return instance.history.blocked(digest, m_now);
                           });
    }

private:
    static constexpr const char* digest = "0123456789abcdef01234567";

    /// A call that is under way at a runner.
    struct Run {
        std::size_t instance = 0;
        std::size_t life = 0; ///< Of that instance.
        bool again = false;   ///< See InterruptedCall.
    };
    void start_callers() override
    {
        for (std::size_t i = 0; i < m_callers; ++i)
            in(between(0, 300), [this] { send(); });
        if (m_lost_each)
            in(*m_lost_each, [this] { lose_runners(); });
    }

    /// A caller sends the request to some instance.
    void send()
    {
        const std::size_t number = draw_instance();
        Instance& instance = m_fleet[number];
        if (instance.history.blocked(digest, m_now)) {
            ++m_refused;
            in(between(20, 700), [this] { send(); });
            return;
        }
        if (in_touch(instance))
            m_sent.push_back(m_now);
        const std::size_t run = m_next_run++;
        m_under_way[run] = {number, instance.life,
                            instance.history.ends(digest) > 0};
        in(between(30, 500), [this, run] {
            if (m_lost_each)
                answer(run);
            else
                end_runner(run);
        });
    }

    /// A runner answers the call, unless it was lost meanwhile.
    void answer(std::size_t run)
    {
        const auto found = m_under_way.find(run);
        if (found == m_under_way.end())
            return;
        const Run done = found->second;
        m_under_way.erase(found);
        in(between(1, 10), [this, done] {
            Instance& sender = m_fleet[done.instance];
            if (sender.life == done.life)
                sender.history.answered(digest, m_now, m_now);
        });
        in(between(20, 700), [this] { send(); });
    }

    /// The runner of a call ends; the instance sees it a moment later, if it
    /// still lives.
    void end_runner(std::size_t run)
    {
        const Run lost = m_under_way.at(run);
        m_under_way.erase(run);
        m_ends.push_back(m_now);
        in(between(1, 10), [this, lost, run] {
            Instance& sender = m_fleet[lost.instance];
            if (sender.life == lost.life)
                sender.history.ended({digest, "runner-" + std::to_string(run),
                                      0, lost.again, m_now},
                                     m_now);
        });
        in(between(20, 700), [this] { send(); });
    }

    /// Three of four runners that have a call are lost.
    void lose_runners()
    {
        in(*m_lost_each, [this] { lose_runners(); });
        const auto under_way = m_under_way;
        for (const auto& [run, call] : under_way)
            if (between(0, 3).count() > 0)
                end_runner(run);
    }

    const std::size_t m_callers;
    const std::optional<Micros> m_lost_each;
    std::vector<TimePoint> m_sent; ///< By instances in touch.
    std::vector<TimePoint> m_ends;
    std::map<std::size_t, Run> m_under_way;
    std::size_t m_next_run = 0; ///< Each at a runner of its own.
    std::size_t m_refused = 0;
};

} // namespace crosslink::testing
