// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/forward/hedge_policy.h>
#include <crosslink/forward/response_times.h>
#include <crosslink/forward/retry_window.h>
#include <crosslink/forward/runner_table.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace crosslink::testing
{

/// The runners of a plain service and the callers before them.
struct PlayedRunners {
    std::size_t runners = 12;
    std::uint32_t slots = 6;
    std::size_t queue = 24; ///< Calls beyond it are refused.
    double mean_ms = 200;   ///< Of a run.
    double load = 0.5;      ///< Calls, as a part of what the runners can run.
    double slow_factor = 1; ///< Of the first runner, half of the time.
    std::size_t instances = 24;
    double hedge_ratio = 0;
};

/// Safe calls to modelled runners, hedged by the real choice, policy and limit
/// of some instances that know of their own calls only.
class PlayedHedges
{
public:
    explicit PlayedHedges(const PlayedRunners& fleet)
        : m_fleet(fleet), m_runners(fleet.runners)
    {
        for (std::size_t i = 0; i < fleet.instances; ++i)
            m_instances.emplace_back(fleet);
    }

    void play(int seconds)
    {
        m_end = TimePoint(std::chrono::seconds(seconds));
        add(next_arrival(), {Kind::Arrival});
        while (!m_events.empty()) {
            const auto first = m_events.begin();
            m_now = first->first;
            const Event event = first->second;
            m_events.erase(first);
            handle(event);
        }
    }

    std::size_t calls() const { return m_calls.size(); }
    std::size_t copies() const { return m_copies; }
    /// Returns the time in which the part `quantile` of the served calls that
    /// began after `from` were answered.
    Micros quantile(double quantile, TimePoint from) const
    {
        std::vector<Micros> times;
        for (const Call& call : m_calls)
            if (call.arrived_at >= from && call.answered)
                times.push_back(call.taken);
        if (times.empty())
            return Micros{0};
        std::sort(times.begin(), times.end());
        return times[static_cast<std::size_t>(
            quantile * static_cast<double>(times.size() - 1))];
    }
    /// Returns the time that runners worked on calls, divided by that on calls
    /// which nobody else answered.
    double work() const { return m_worked_ms / m_useful_ms; }

private:
    enum class Kind { Arrival, Due, Finish };
    struct Event {
        Kind kind;
        std::size_t send = 0; ///< Of m_sends; a call for Due.
    };
    struct Call {
        std::size_t instance = 0;
        TimePoint arrived_at{};
        std::vector<std::size_t> sends;
        bool answered = false;
        Micros taken{0};
    };
    struct Send {
        std::size_t call = 0;
        std::size_t runner = 0;
        TimePoint sent_at{};
        TimePoint begun_at{};
        bool running = false;
        bool over = false;
    };
    struct Runner {
        std::uint32_t running = 0;
        std::deque<std::size_t> waiting;
    };
    struct Instance {
        explicit Instance(const PlayedRunners& fleet)
            : retries({0.2, 50, std::chrono::seconds(10), fleet.hedge_ratio}),
              policy(fleet.hedge_ratio > 0 ? HedgeRules{} : HedgeRules{{}})
        {
            for (std::size_t i = 0; i < fleet.runners; ++i) {
                ListedRunner listed;
                listed.id = std::to_string(i);
                listed.service = std::string("s");
                listed.slots = fleet.slots;
                table.put(listed, {});
            }
        }
        RunnerTable table;
        ResponseTimes times;
        RetryWindow retries;
        HedgePolicy policy;
    };

    void add(TimePoint at, const Event& event) { m_events.emplace(at, event); }

    TimePoint next_arrival()
    {
        const double per_ms = m_fleet.load *
                              static_cast<double>(m_fleet.runners) *
                              m_fleet.slots / m_fleet.mean_ms;
        return m_now + millis(std::exponential_distribution(per_ms)(m_random));
    }

    static Micros millis(double value) { return from_seconds(value / 1000); }

    void handle(const Event& event)
    {
        switch (event.kind) {
        case Kind::Arrival:
            arrive();
            break;
        case Kind::Due:
            hedge(event.send);
            break;
        case Kind::Finish:
            finish(event.send);
            break;
        }
    }

    void arrive()
    {
        if (const TimePoint next = next_arrival(); next < m_end)
            add(next, {Kind::Arrival});
        const std::size_t number = m_calls.size();
        m_calls.push_back({number % m_instances.size(), m_now, {}});
        Instance& instance = instance_of(number);
        instance.retries.called("s", m_now);
        const auto pick = instance.table.choose(query(nullptr));
        if (!pick)
            instance.retries.refused("s", m_now);
        if (!pick || !send(number, *pick))
            return;
        const HedgeCall call = hedge_call(number);
        if (!instance.policy.denial(call))
            add(m_now + HedgePolicy::delay(call), {Kind::Due, number});
    }

    RunnerQuery query(const std::set<std::string>* avoid)
    {
        RunnerQuery query;
        query.service = "s";
        query.instances = m_fleet.instances;
        query.avoid = avoid;
        query.random = m_random();
        query.now = m_now;
        return query;
    }

    Instance& instance_of(std::size_t call)
    {
        return m_instances[m_calls[call].instance];
    }

    HedgeCall hedge_call(std::size_t number)
    {
        HedgeCall call;
        call.kind = HedgeKind::PlainCall;
        call.sends = static_cast<std::uint32_t>(m_calls[number].sends.size());
        call.most_attempts = 2;
        call.usual = instance_of(number).times.quantile(
            "s", 0, HedgePolicy::quantile, m_now);
        return call;
    }

    void hedge(std::size_t number)
    {
        const Call& call = m_calls[number];
        Instance& instance = instance_of(number);
        if (call.answered)
            return;
        const Send& first = m_sends[call.sends.front()];
        const std::set<std::string> avoid{std::to_string(first.runner)};
        const auto pick = instance.table.choose(query(&avoid));
        if (!pick)
            return;
        const RunnerEntry* entry = instance.table.entry(pick->id);
        HedgeRunner runner;
        runner.calls = entry->own.calls * m_fleet.instances;
        runner.slots = entry->listed.slots;
        runner.expected = pick->wait;
        if (HedgePolicy::denial(hedge_call(number), runner,
                                m_now - first.sent_at))
            return;
        if (!instance.retries.take_hedge("s", m_fleet.instances, m_now))
            return;
        ++m_copies;
        send(number, *pick);
    }

    /// Returns false if the runner refused the call.
    bool send(std::size_t number, const RunnerPick& pick)
    {
        const std::size_t at = std::stoul(pick.id);
        Runner& runner = m_runners[at];
        Instance& instance = instance_of(number);
        if (runner.running == m_fleet.slots &&
            runner.waiting.size() >= m_fleet.queue) {
            instance.retries.refused("s", m_now);
            instance.table.refused({pick.id}, m_now,
                                   std::chrono::milliseconds(120));
            return false;
        }
        instance.table.sent({pick.id}, 0, 0, m_now);
        m_calls[number].sends.push_back(m_sends.size());
        m_sends.push_back({number, at, m_now});
        runner.waiting.push_back(m_sends.size() - 1);
        start(at);
        return true;
    }

    void start(std::size_t at)
    {
        Runner& runner = m_runners[at];
        while (runner.running < m_fleet.slots && !runner.waiting.empty()) {
            Send& send = m_sends[runner.waiting.front()];
            ++runner.running;
            send.running = true;
            send.begun_at = m_now;
            const double part =
                0.5 + std::exponential_distribution(2.0)(m_random);
            add(m_now + millis(m_fleet.mean_ms * part * slowness(at)),
                {Kind::Finish, runner.waiting.front()});
            runner.waiting.pop_front();
        }
    }

    double slowness(std::size_t runner) const
    {
        constexpr Micros episode = std::chrono::milliseconds(6500);
        const bool slow = m_now.time_since_epoch() / episode % 2 == 1;
        return runner == 0 && slow ? m_fleet.slow_factor : 1;
    }

    void finish(std::size_t number)
    {
        if (m_sends[number].over)
            return;
        Call& call = m_calls[m_sends[number].call];
        call.answered = true;
        call.taken = m_now - call.arrived_at;
        m_useful_ms += worked_ms(m_sends[number]);
        const Send& send = m_sends[number];
        instance_of(send.call).table.answered({std::to_string(send.runner)}, {},
                                              m_now - send.sent_at, m_now);
        for (const std::size_t item : call.sends)
            end(item);
    }

    /// Ends a send that was answered, or whose copy was.
    void end(std::size_t number)
    {
        Send& send = m_sends[number];
        Instance& instance = instance_of(send.call);
        send.over = true;
        instance.times.add("s", 0, m_now - send.sent_at, m_now);
        instance.table.ended({std::to_string(send.runner)});
        Runner& runner = m_runners[send.runner];
        if (send.running) {
            m_worked_ms += worked_ms(send);
            --runner.running;
        } else {
            std::erase(runner.waiting, number);
        }
        start(send.runner);
    }

    double worked_ms(const Send& send) const
    {
        return seconds(m_now - send.begun_at) * 1000;
    }

    const PlayedRunners m_fleet;
    std::vector<Runner> m_runners;
    std::vector<Instance> m_instances;
    std::vector<Call> m_calls;
    std::vector<Send> m_sends;
    std::multimap<TimePoint, Event> m_events;
    std::size_t m_copies = 0;
    double m_worked_ms = 0;
    double m_useful_ms = 0;
    std::mt19937_64 m_random{1};
    TimePoint m_now{};
    TimePoint m_end{};
};

} // namespace crosslink::testing
