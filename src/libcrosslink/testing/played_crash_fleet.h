// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "fleet_parents.h"
#include "played_events.h"

#include <crosslink/base/time.h>
#include <crosslink/forward/crash_history.h>
#include <crosslink/membership/instance_info.h>

#include <cstddef>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace crosslink::testing
{

/// How a fleet is played that shares what it saw of runners that ended.
struct CrashFleetPlay {
    std::size_t instances = 3; ///< In three zones.
    std::uint32_t seed = 1;
    double lost = 0.1;                ///< Part of exchanges that get lost.
    std::optional<Micros> zone_cut{}; ///< A zone is cut off then, for 5 s.
    /// From a cut until instances hear who has the duty next.
    Micros holder_heard = std::chrono::seconds(2);
    std::optional<Micros> all_killed{}; ///< All start anew then.
    std::optional<Micros> fresh{};      ///< One more starts then.
    Micros time = std::chrono::seconds(18);
};

/// A fleet in which each instance keeps a CrashHistory and exchanges it by the
/// fleet's tree, played without threads or sockets. The holder of the duty
/// records what is blocked at the platform, which the instances that reach it
/// read with some delay. What callers send is told by derived classes.
class PlayedCrashFleet : protected PlayedEvents
{
public:
    virtual ~PlayedCrashFleet() = default;

    /// Plays it to its end.
    void run()
    {
        plan();
        run_events();
    }

protected:
    explicit PlayedCrashFleet(const CrashFleetPlay& play)
        : PlayedEvents(play.time), m_play(play), m_random(play.seed)
    {
        for (std::size_t i = 0; i < play.instances; ++i)
            add_instance(TimePoint{} - contact);
    }

    /// Starts what callers send.
    virtual void start_callers() = 0;

    /// In this time instances in touch hear of what others saw; the platform's
    /// own figure for its rules.
    static constexpr Micros contact = std::chrono::seconds(3);
    static constexpr Micros cut_time = std::chrono::seconds(5);
    static constexpr std::size_t zones = 3;

    struct Instance {
        InstanceInfo info;
        CrashHistory history;
        TimePoint started_at{};
        TimePoint cut_until{};
        std::size_t life = 0; ///< Words for an earlier one are lost.
    };

    Micros between(int least_ms, int most_ms)
    {
        return std::chrono::milliseconds(
            std::uniform_int_distribution<int>(least_ms, most_ms)(m_random));
    }

    void add_instance(TimePoint started_at)
    {
        const std::size_t number = m_fleet.size();
        Instance instance;
        instance.info = {"front-" + std::to_string(number),
                         "10.0.0.1:" + std::to_string(number),
                         "zone-" + std::to_string(number % zones), 200};
        instance.started_at = started_at;
        m_fleet.push_back(instance);
        m_tree_is_old = true;
    }

    void plan()
    {
        for (std::size_t i = 0; i < m_fleet.size(); ++i)
            in(between(0, 150), [this, i] { exchange(i); });
        start_callers();
        in(between(0, 500), [this] { record(); });
        if (m_play.zone_cut)
            in(*m_play.zone_cut, [this] { cut_zone(); });
        if (m_play.all_killed)
            in(*m_play.all_killed, [this] { kill_all(); });
        if (m_play.fresh)
            in(*m_play.fresh, [this] { start_fresh(); });
    }

    std::size_t draw_instance()
    {
        return std::uniform_int_distribution<std::size_t>(0, m_fleet.size() -
                                                                 1)(m_random);
    }

    bool is_cut(const Instance& instance) const
    {
        return m_now < instance.cut_until;
    }

    bool in_touch(const Instance& instance) const
    {
        return m_now >= instance.cut_until + contact &&
               m_now >= instance.started_at + contact;
    }

    bool reaches(const Instance& a, const Instance& b) const
    {
        return is_cut(a) == is_cut(b);
    }

    /// Returns the parent that `instance` asks; the first that it reaches.
    std::optional<std::size_t> parent_of(std::size_t number)
    {
        if (m_tree_is_old)
            plant_tree();
        for (const std::size_t parent : m_parents[number])
            if (reaches(m_fleet[parent], m_fleet[number]))
                return parent;
        return std::nullopt;
    }

    void plant_tree()
    {
        std::vector<InstanceInfo> infos;
        for (const Instance& instance : m_fleet)
            infos.push_back(instance.info);
        m_parents = fleet_parents(infos, m_holder);
        m_tree_is_old = false;
    }

    void exchange(std::size_t number)
    {
        in(between(90, 170), [this, number] { exchange(number); });
        const Instance& child = m_fleet[number];
        const auto parent = parent_of(number);
        const bool is_lost =
            std::uniform_real_distribution<>()(m_random) < m_play.lost;
        if (!parent || is_lost)
            return;
        const CrashUpdate question = child.history.update(m_now);
        const TimePoint asked = m_now;
        const std::size_t child_life = child.life;
        const std::size_t parent_life = m_fleet[*parent].life;
        in(between(1, 60), [=, this] {
            Instance& asked_one = m_fleet[*parent];
            if (asked_one.life != parent_life)
                return;
            asked_one.history.merge(question, m_now, m_now);
            const CrashUpdate answer = asked_one.history.update(m_now);
            in(between(1, 60), [=, this] {
                Instance& asker = m_fleet[number];
                if (asker.life == child_life)
                    asker.history.merge(answer, asked, m_now);
            });
        });
    }

    /// The holder of the duty records what is blocked.
    void record()
    {
        in(std::chrono::milliseconds(500), [this] { record(); });
        Instance& holder = m_fleet[m_holder];
        if (is_cut(holder))
            return;
        for (const std::string& request : holder.history.to_record(m_now)) {
            holder.history.recorded(request, m_now);
            m_record.insert(request);
            for (std::size_t i = 0; i < m_fleet.size(); ++i)
                tell_record(i, request);
        }
    }

    /// Lets instance `number` hear of a new record, after a cut where there is
    /// one: news go on from where it stands.
    void tell_record(std::size_t number, const std::string& request)
    {
        in(between(10, 800), [this, number, request] {
            Instance& instance = m_fleet[number];
            if (is_cut(instance))
                in(instance.cut_until - m_now,
                   [this, number, request] { tell_record(number, request); });
            else
                instance.history.recorded(request, m_now);
        });
    }

    /// Lets instance `number` read the record, as one does that starts.
    void read_record(std::size_t number)
    {
        in(between(100, 1500), [this, number] {
            for (const std::string& request : m_record)
                m_fleet[number].history.recorded(request, m_now);
        });
    }

    void cut_zone()
    {
        for (Instance& instance : m_fleet)
            if (instance.info.zone == m_fleet.front().info.zone)
                instance.cut_until = m_now + cut_time;
        // The duty passes on where it was cut off.
        in(std::chrono::seconds(2), [this] { m_holder = 1; });
        in(m_play.holder_heard, [this] { m_tree_is_old = true; });
    }

    void kill_all()
    {
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            m_fleet[i].history = {};
            m_fleet[i].started_at = m_now;
            ++m_fleet[i].life;
            read_record(i);
        }
    }

    void start_fresh()
    {
        add_instance(m_now);
        const std::size_t number = m_fleet.size() - 1;
        in(between(50, 300), [this, number] { exchange(number); });
        read_record(number);
    }

    const CrashFleetPlay m_play;
    std::mt19937 m_random;
    std::vector<Instance> m_fleet;
    std::vector<std::vector<std::size_t>> m_parents; ///< Of each instance.
    bool m_tree_is_old = true;
    std::size_t m_holder = 0;
    std::set<std::string> m_record; ///< What the platform keeps.
};

} // namespace crosslink::testing
