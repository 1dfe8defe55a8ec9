// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "fleet_parents.h"
#include "played_events.h"

#include <crosslink/base/time.h>
#include <crosslink/forward/fair_share_tracker.h>
#include <crosslink/forward/retry_window.h>
#include <crosslink/forward/runner_table.h>
#include <crosslink/membership/instance_info.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace crosslink::testing
{

/// From `at` on, limited runners name `per_second`.
struct LimitStep {
    Micros at{0};
    double per_second = no_rate_limit;
};

/// How a fleet is played before runners that name limits.
struct LimitPlay {
    std::size_t instances = 3; ///< In three zones.
    std::size_t runners = 18;
    std::size_t limited = 2; ///< Of them.
    std::uint32_t seed = 1;
    double calls_per_second = 120;
    /// Runners that are limited name these, one after the other.
    std::vector<LimitStep> steps{{std::chrono::seconds(4), 1.5}};
    double lost = 0.02; ///< Part of exchanges and answers that get lost.
    double late = 0.02; ///< Part of them that come up to 2 s late.
    bool one_zone_calls = false;        ///< Callers come to one zone alone.
    std::optional<Micros> zone_cut{};   ///< A zone is cut off then, for 5 s.
    std::optional<Micros> killed{};     ///< A third starts anew then.
    std::optional<Micros> all_killed{}; ///< All start anew then.
    std::optional<Micros> born_again{}; ///< Limited runners start anew then.
    /// Slots of each runner, which refuses a call that finds neither a slot nor
    /// a place in its queue; 0 for any number, without refusals.
    std::size_t slots = 0;
    std::size_t queue = 0;
    Micros call_time = std::chrono::milliseconds(15); ///< In a slot.
    Micros objective = std::chrono::milliseconds(120);
    Micros time = std::chrono::seconds(24);
};

/// A fleet in which each instance keeps a RunnerTable and exchanges limits by
/// the fleet's tree, played without threads or sockets. Calls that find no
/// runner are refused.
class PlayedLimits : private PlayedEvents
{
public:
    static constexpr Micros span = std::chrono::seconds(4);
    /// In this time instances in touch hear of what others learned; the
    /// platform's own figure for its rules.
    static constexpr Micros contact = std::chrono::seconds(3);

    explicit PlayedLimits(const LimitPlay& play)
        : PlayedEvents(play.time), m_play(play), m_random(play.seed),
          m_runners(play.runners), m_fleet(play.instances)
    {
        for (std::size_t i = 0; i < m_fleet.size(); ++i)
            start(i, TimePoint{} - contact);
    }

    /// Plays it to its end.
    void run()
    {
        plan();
        run_events();
    }

    /// Returns by how many calls a runner got more, in any span after instances
    /// could hear of its limit, than one and a half times what it takes and
    /// five; below 0 where none did. Calls of instances that were cut off or
    /// started lately do not count.
    double most_beyond() const
    {
        double most = -1e9;
        for (std::size_t i = 0; i < m_play.limited; ++i)
            most = std::max(most, beyond(m_runners[i].arrived));
        return most;
    }
    /// Returns which part of what limited runners take they got from `since` to
    /// the end of the play.
    double part_taken(TimePoint since) const
    {
        double taken = 0;
        double wanted = 0;
        for (std::size_t i = 0; i < m_play.limited; ++i) {
            const auto& arrived = m_runners[i].arrived;
            taken += static_cast<double>(
                std::count_if(arrived.begin(), arrived.end(),
                              [since](TimePoint at) { return at >= since; }));
            wanted +=
                limit_at(since) * seconds(TimePoint{} + m_play.time - since);
        }
        return taken / wanted;
    }
    /// Returns how many instances believe in a limit of any runner.
    std::size_t believers() const
    {
        return static_cast<std::size_t>(std::count_if(
            m_fleet.begin(), m_fleet.end(), [](const Instance& instance) {
                return instance.table.limited_count() > 0;
            }));
    }
    std::size_t asked() const { return m_asked; }
    std::size_t refused() const { return m_refused; }
    /// Returns how many calls were refused although a runner had room: no more
    /// can be gained by telling instances where room is.
    std::size_t refused_in_vain() const { return m_refused_in_vain; }
    std::size_t served_in_time() const { return m_served_in_time; }
    /// Returns how many calls were sent to runners with limits, and how many of
    /// them were of the account that sends a tenth of all calls.
    std::size_t taken() const { return m_taken; }
    std::size_t taken_by_few() const { return m_taken_by_few; }

private:
    static constexpr Micros cut_time = std::chrono::seconds(5);
    static constexpr Micros lease_time = std::chrono::seconds(3);
    static constexpr Micros deadline = std::chrono::seconds(4);
    static constexpr std::size_t zones = 3;
    static constexpr double few_part = 0.1;

    struct Runner {
        std::vector<TimePoint> arrived; ///< Of instances in touch.
        std::uint64_t start_ms = 1;
        bool has_limit = true;       ///< Until it starts anew.
        std::vector<TimePoint> ends; ///< Of calls in slots and the queue.
    };
    /// A call to runners with slots.
    struct SlotCall {
        std::size_t number = 0; ///< Of its instance.
        TimePoint began{};
        std::set<std::string> avoid{};
    };
    struct Instance {
        InstanceInfo info;
        RunnerTable table;
        FairShareTracker turns;
        RetryWindow retries{RetryRules{}};
        TimePoint started_at{};
        TimePoint cut_until{};
        std::size_t life = 0; ///< Words for an earlier one are lost.
    };

    static std::string zone_of(std::size_t number)
    {
        return "zone-" + std::to_string(number % zones);
    }
    static std::string runner_name(std::size_t number)
    {
        return "r" + std::to_string(number);
    }
    Micros between(int least_ms, int most_ms)
    {
        return std::chrono::milliseconds(
            std::uniform_int_distribution<int>(least_ms, most_ms)(m_random));
    }
    bool chance(double part)
    {
        return std::uniform_real_distribution<>()(m_random) < part;
    }
    /// How long a word is on its way.
    Micros way()
    {
        return chance(m_play.late) ? between(500, 2000) : between(1, 40);
    }

    double limit_at(TimePoint at) const
    {
        double limit = no_rate_limit;
        for (const LimitStep& step : m_play.steps)
            if (at >= TimePoint{} + step.at)
                limit = step.per_second;
        return limit;
    }
    /// Returns the most that was named from the contact time before `from` on,
    /// up to `until`.
    double most_named(TimePoint from, TimePoint until) const
    {
        double most = limit_at(from - contact);
        for (const LimitStep& step : m_play.steps) {
            const TimePoint at = TimePoint{} + step.at;
            if (at > from - contact && at <= until)
                most = std::max(most, step.per_second);
        }
        return most;
    }
    double beyond(const std::vector<TimePoint>& arrived) const
    {
        double most = -1e9;
        for (const TimePoint from : arrived) {
            const double limit = most_named(from, from + span);
            const auto got = std::count_if(
                arrived.begin(), arrived.end(), [from](TimePoint at) {
                    return at >= from && at < from + span;
                });
            const double allowed = 1.5 * limit * seconds(span) + 5;
            most = std::max(most, static_cast<double>(got) - allowed);
        }
        return most;
    }

    /// A process with nothing but what it reads at its start.
    void start(std::size_t number, TimePoint at)
    {
        Instance& instance = m_fleet[number];
        instance.info = {"front-" + std::to_string(number),
                         "10.0.0.1:" + std::to_string(number), zone_of(number),
                         200};
        instance.table = RunnerTable();
        instance.turns = FairShareTracker();
        instance.started_at = at;
        ++instance.life;
        for (std::size_t i = 0; i < m_fleet.size(); ++i)
            instance.table.members().listed({"front-" + std::to_string(i),
                                             "10.0.0.1:" + std::to_string(i),
                                             zone_of(i), 200},
                                            at);
        for (std::size_t i = 0; i < m_runners.size(); ++i)
            instance.table.put(listed(i), at);
    }

    ListedRunner listed(std::size_t number) const
    {
        ListedRunner runner;
        runner.id = runner_name(number);
        runner.start_ms = m_runners[number].start_ms;
        runner.service = "s";
        runner.address = "127.0.0.1:1";
        runner.zone = zone_of(number);
        runner.slots = 64;
        return runner;
    }

    void plan()
    {
        for (std::size_t i = 0; i < m_fleet.size(); ++i)
            in(between(0, 150), [this, i] { exchange(i); });
        call();
        if (m_play.zone_cut)
            in(*m_play.zone_cut, [this] { cut_zone(); });
        if (m_play.killed)
            in(*m_play.killed, [this] { kill(3); });
        if (m_play.all_killed)
            in(*m_play.all_killed, [this] { kill(1); });
        if (m_play.born_again)
            in(*m_play.born_again, [this] { start_runners_anew(); });
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

    void exchange(std::size_t number)
    {
        in(between(90, 170), [this, number] { exchange(number); });
        const auto parent = parent_of(number);
        if (!parent || chance(m_play.lost))
            return;
        const auto question = m_fleet[number].table.limit_updates(m_now);
        const std::size_t child_life = m_fleet[number].life;
        const std::size_t parent_life = m_fleet[*parent].life;
        in(way(), [=, this] {
            Instance& asked_one = m_fleet[*parent];
            if (asked_one.life != parent_life)
                return;
            take(asked_one, question);
            const auto answer = asked_one.table.limit_updates(m_now);
            in(way(), [=, this] {
                if (m_fleet[number].life == child_life)
                    take(m_fleet[number], answer);
            });
        });
    }

    void take(Instance& instance, const std::vector<LimitUpdate>& news)
    {
        for (const LimitUpdate& item : news)
            instance.table.merge_limit(item, m_now);
    }

    /// Returns the parent that an instance asks; the first that it reaches.
    std::optional<std::size_t> parent_of(std::size_t number)
    {
        if (m_parents.empty())
            plant_tree();
        for (const std::size_t parent : m_parents[number])
            if (is_cut(m_fleet[parent]) == is_cut(m_fleet[number]))
                return parent;
        return std::nullopt;
    }

    void plant_tree()
    {
        std::vector<InstanceInfo> infos;
        for (const Instance& instance : m_fleet)
            infos.push_back(instance.info);
        m_parents = fleet_parents(infos, m_holder);
    }

    void call()
    {
        const double wait =
            std::exponential_distribution<>(m_play.calls_per_second)(m_random);
        in(from_seconds(wait), [this] { call(); });
        std::size_t number = std::uniform_int_distribution<std::size_t>(
            0, m_fleet.size() - 1)(m_random);
        if (m_play.one_zone_calls)
            number -= number % zones;
        send(number);
    }

    RunnerQuery query_of(const Instance& instance)
    {
        RunnerQuery query;
        query.service = "s";
        query.zone = instance.info.zone;
        query.instance = instance.info.name;
        query.instances = m_fleet.size();
        query.random = std::uniform_int_distribution<std::uint64_t>()(m_random);
        query.now = m_now;
        return query;
    }

    /// Sends a call, or sends it again after a refusal.
    void send_to_slot(const SlotCall& call)
    {
        RunnerTable& table = m_fleet[call.number].table;
        RunnerQuery query = query_of(m_fleet[call.number]);
        query.avoid = &call.avoid;
        const auto pick = table.choose(query);
        if (!pick) {
            refuse();
            return;
        }
        table.reserve(pick->incarnation());
        table.sent(pick->incarnation(), 0, 0, m_now);
        in(between(1, 3),
           [=, this, runner = pick->id] { arrive(call, runner); });
    }
    bool has_room(Runner& runner)
    {
        std::erase_if(runner.ends,
                      [this](TimePoint end) { return end <= m_now; });
        return runner.ends.size() < m_play.slots + m_play.queue;
    }
    void refuse()
    {
        ++m_refused;
        m_refused_in_vain +=
            std::any_of(m_runners.begin(), m_runners.end(),
                        [this](Runner& runner) { return has_room(runner); });
    }
    void arrive(const SlotCall& call, const std::string& id)
    {
        Runner& runner = m_runners[std::stoul(id.substr(1))];
        const bool accepted = has_room(runner);
        TimePoint start = m_now;
        if (accepted) {
            std::vector<TimePoint>& ends = runner.ends;
            if (ends.size() >= m_play.slots) // Ends are in order.
                start = ends[ends.size() - m_play.slots];
            ends.push_back(start + m_play.call_time);
        }
        const Micros held = std::chrono::duration_cast<Micros>(start - m_now);
        in((accepted ? held + m_play.call_time : Micros{0}) + between(1, 3),
           [=, this] { end_in_slot(call, id, accepted); });
    }
    void end_in_slot(SlotCall call, const std::string& id, bool accepted)
    {
        constexpr Micros hold = std::chrono::milliseconds(120);
        Instance& instance = m_fleet[call.number];
        instance.table.ended({id, 1});
        if (accepted) {
            m_served_in_time += m_now <= call.began + m_play.objective;
            return;
        }
        instance.table.refused({id, 1}, m_now, hold);
        call.avoid.insert(id);
        if (instance.retries.take("s", m_fleet.size(), m_now))
            send_to_slot(call);
        else
            refuse();
    }

    /// A caller's request comes to an instance.
    void send(std::size_t number)
    {
        Instance& instance = m_fleet[number];
        if (m_play.slots > 0) {
            ++m_asked;
            instance.retries.called("s", m_now);
            send_to_slot({number, m_now});
            return;
        }
        const std::string account = chance(few_part) ? "few" : "many";
        RunnerQuery query = query_of(instance);
        instance.turns.asked("s", account, m_now);
        query.account_above_share =
            instance.turns.is_ahead("s", account, m_now);
        ++m_asked;
        const auto pick = instance.table.choose(query);
        if (!pick) {
            ++m_refused;
            return;
        }
        if (pick->limited) {
            instance.turns.taken("s", account, 1, m_now);
            ++m_taken;
            m_taken_by_few += account == "few" ? 1 : 0;
        }
        instance.table.reserve(pick->incarnation());
        instance.table.sent(pick->incarnation(), 0, 0, m_now);
        const std::size_t runner = std::stoul(pick->id.substr(1));
        const bool arrives =
            is_cut(instance) == (runner % zones == 0 && m_now < m_cut_until);
        if (arrives)
            run_call(number, runner, *pick);
        else
            instance.table.failed(pick->incarnation(), m_now);
    }

    void run_call(std::size_t number, std::size_t runner,
                  const RunnerPick& pick)
    {
        const std::size_t life = m_fleet[number].life;
        const bool counts = in_touch(m_fleet[number]);
        in(between(1, 5), [this, runner, counts] {
            if (counts)
                m_runners[runner].arrived.push_back(m_now);
        });
        in(between(30, 800), [=, this] {
            const Runner& state = m_runners[runner];
            if (state.start_ms != pick.start_ms)
                return;
            const double named = runner < m_play.limited && state.has_limit
                                     ? limit_at(m_now)
                                     : no_rate_limit;
            if (chance(m_play.lost))
                in(deadline, [=, this] { give_up(number, life, pick); });
            else
                in(way(), [=, this] { answer(number, life, pick, named); });
        });
    }

    void answer(std::size_t number, std::size_t life, const RunnerPick& pick,
                double named)
    {
        Instance& instance = m_fleet[number];
        if (instance.life != life)
            return;
        instance.table.apply_limit_answer(pick.incarnation(), named,
                                          pick.limit_change, m_now);
        instance.table.ended(pick.incarnation());
    }

    void give_up(std::size_t number, std::size_t life, const RunnerPick& pick)
    {
        Instance& instance = m_fleet[number];
        if (instance.life == life)
            instance.table.ended(pick.incarnation());
    }

    /// The first zone is cut off, runners and all; the others take its
    /// instances as gone once their leases are over.
    void cut_zone()
    {
        m_cut_until = m_now + cut_time;
        for (Instance& instance : m_fleet)
            if (instance.info.zone == zone_of(0))
                instance.cut_until = m_cut_until;
        in(lease_time, [this] {
            for (Instance& instance : m_fleet)
                if (!is_cut(instance))
                    for (const Instance& other : m_fleet)
                        if (is_cut(other))
                            instance.table.members().gone(other.info.name,
                                                          m_now);
        });
        in(cut_time + between(50, 500), [this] {
            for (Instance& instance : m_fleet)
                for (const Instance& other : m_fleet)
                    instance.table.members().listed(other.info, m_now);
        });
        // The duty passes on where it was cut off.
        in(std::chrono::seconds(4), [this] {
            m_holder = 1;
            m_parents.clear();
        });
    }

    /// Every instance in `each` is killed, and starts a second later.
    void kill(std::size_t each)
    {
        for (std::size_t i = 0; i < m_fleet.size(); i += each) {
            ++m_fleet[i].life;
            in(std::chrono::seconds(1), [this, i] {
                start(i, m_now);
                for (Instance& other : m_fleet)
                    other.table.members().listed(m_fleet[i].info, m_now);
            });
            for (Instance& other : m_fleet)
                other.table.members().gone(m_fleet[i].info.name, m_now);
        }
    }

    /// Limited runners start anew under their ids, without a limit; each
    /// instance hears of it at a time of its own.
    void start_runners_anew()
    {
        for (std::size_t i = 0; i < m_play.limited; ++i) {
            ++m_runners[i].start_ms;
            m_runners[i].has_limit = false;
            m_runners[i].arrived.clear();
            for (std::size_t n = 0; n < m_fleet.size(); ++n)
                in(between(10, 800),
                   [this, i, n] { m_fleet[n].table.put(listed(i), m_now); });
        }
    }

    const LimitPlay m_play;
    std::mt19937_64 m_random;
    std::vector<Runner> m_runners;
    std::vector<Instance> m_fleet;
    std::vector<std::vector<std::size_t>> m_parents; ///< Of each instance.
    std::size_t m_holder = 0;
    TimePoint m_cut_until{};
    std::size_t m_asked = 0;
    std::size_t m_refused = 0;
    std::size_t m_refused_in_vain = 0;
    std::size_t m_served_in_time = 0;
    std::size_t m_taken = 0;
    std::size_t m_taken_by_few = 0;
};

} // namespace crosslink::testing
