// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "model_engine.h"
#include "played_fleet.h"

#include <crosslink/forward/load_aggregator.h>
#include <crosslink/forward/queue_limit.h>
#include <crosslink/forward/runner_price.h>
#include <crosslink/forward/runner_table.h>
#include <crosslink/forward/segment_demand.h>
#include <crosslink/forward/speed_report.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace crosslink::testing
{

/// Modelled engines behind the choice and the limit of some instances, played
/// against callers that repeat once: after a refusal when told to.
class PlayedLoad
{
public:
    using Load = std::function<double(double second)>;

    PlayedLoad(std::vector<PlayedKind> kinds, const PlayedFleet& fleet)
        : m_kinds(std::move(kinds)), m_fleet(fleet),
          m_stores(fleet.stores, fleet.store_tokens_per_ms),
          m_tables(fleet.instances), m_demands(fleet.instances)
    {
        if (fleet.home_instances > 0)
            list_instances();
        for (const PlayedKind& kind : m_kinds)
            for (const PlayedParts& parts : kind.parts)
                m_part_draws.push_back(part_draw(parts));
        for (std::size_t i = 0; i < fleet.engines; ++i)
            add_engine("r" + std::to_string(i), zone_of(i),
                       fleet.speed * (i % 3 == 2 ? fleet.slow_speed : 1));
    }

    /// Plays `seconds` under `load`, a multiple of the kinds' rates.
    void play(int seconds, const Load& load)
    {
        for (int ms = 0; ms < seconds * 1000; ms += step_ms) {
            m_now = TimePoint(std::chrono::milliseconds(ms));
            set_slowness(ms / 1000.0);
            if (m_fleet.instances > 1 && ms % m_fleet.told_ms == 0)
                tell_load();
            arrive(load(ms / 1000.0));
            come_back();
            leave();
            for (auto& [id, engine] : m_engines)
                work(id, engine);
        }
    }

    /// Returns what callers of `kind` got whose first try came from second
    /// `from` until second `to`.
    PlayedTally tally(std::size_t kind, double from, double to) const
    {
        return tally_if(kind, from, to, [](const Caller&) { return true; });
    }

    /// Returns what callers of one zone got, of the same kind and time.
    PlayedTally zone_tally(std::size_t zone, std::size_t kind, double from,
                           double to) const
    {
        return tally_if(kind, from, to, [this, zone](const Caller& caller) {
            return caller.instance % m_fleet.zones == zone;
        });
    }

    /// Returns the part of the calls of all kinds that were sent to another
    /// zone, of the callers whose first try came in that time.
    double crossed_share(double from, double to) const
    {
        double calls = 0;
        double crossed = 0;
        for (const Caller& caller : m_callers) {
            if (!came_in(caller, from, to))
                continue;
            ++calls;
            crossed += caller.crossed ? 1 : 0;
        }
        return calls == 0 ? 0 : crossed / calls;
    }

    /// Returns the part `quantile` of the times to the first token of `kind`,
    /// of the same callers as tally().
    Micros first_token(std::size_t kind, double from, double to,
                       double quantile) const
    {
        std::vector<Micros> times;
        for (const Caller& caller : m_callers) {
            if (caller.kind == kind && came_in(caller, from, to) &&
                caller.began)
                times.push_back(caller.began_at - caller.first_try);
        }
        if (times.empty())
            return Micros{0};
        const auto nth = times.begin() +
                         static_cast<std::ptrdiff_t>(
                             quantile * static_cast<double>(times.size() - 1));
        std::nth_element(times.begin(), nth, times.end());
        return *nth;
    }

    /// What the engines had to read.
    ModelStores::Tally& tokens() { return m_stores.tally; }

    /// Returns which part of the calls sent from second `from` until second
    /// `to` went to the engines that are slow for a time.
    double part_of_slow(double from, double to) const
    {
        int all = 0;
        int slow = 0;
        for (const Caller& caller : m_callers) {
            const double sent =
                crosslink::seconds(caller.sent_at - TimePoint{});
            if (caller.sent_to.empty() || sent < from || sent >= to)
                continue;
            ++all;
            slow += is_slow(caller.sent_to) ? 1 : 0;
        }
        return static_cast<double>(slow) / std::max(all, 1);
    }

private:
    enum class End { Open, InTime, Late, Refused, Failed };
    struct Caller {
        std::size_t kind = 0;
        std::size_t instance = 0; ///< That it calls.
        TimePoint first_try{};
        TimePoint sent_at{};
        std::string runner; ///< Empty while it is at none.
        End end = End::Open;
        bool repeated = false;
        bool began = false;
        bool crossed = false; ///< Sent to a runner of another zone.
        TimePoint began_at{};
        std::vector<EnginePart> parts{}; ///< Of the prompt.
        std::uint32_t to_read = 0;       ///< As the instance expected.
        std::string sent_to{};           ///< The last runner.
        Micros expected{0};
        Micros wait{0};
        TimePoint due{};
    };

    /// Returns whether the first try of `caller` came from second `from` until
    /// second `to`.
    static bool came_in(const Caller& caller, double from, double to)
    {
        const double came = crosslink::seconds(caller.first_try - TimePoint{});
        return came >= from && came < to;
    }

    template<class Condition>
    PlayedTally tally_if(std::size_t kind, double from, double to,
                         const Condition& condition) const
    {
        PlayedTally sum;
        for (const Caller& caller : m_callers) {
            if (caller.kind != kind || !came_in(caller, from, to) ||
                !condition(caller))
                continue;
            ++sum.asked;
            sum.in_time += caller.end == End::InTime ? 1 : 0;
            sum.late += caller.end == End::Late ? 1 : 0;
            sum.refused += caller.end == End::Refused ? 1 : 0;
            sum.failed += caller.end == End::Failed ? 1 : 0;
        }
        return sum;
    }

    using Loads = std::map<std::string, RunnerLoad>;

    static constexpr int step_ms = 5;

    bool is_slow(const std::string& engine) const
    {
        return m_fleet.slowness.concerns(std::stoul(engine.substr(1)));
    }

    void set_slowness(double second)
    {
        const PlayedSlowness& slowness = m_fleet.slowness;
        const bool now = second >= slowness.from && second < slowness.until;
        for (auto& [id, engine] : m_engines)
            if (is_slow(id))
                engine.set_factor(now ? slowness.factor : 1);
    }

    std::string zone_of(std::size_t number) const
    {
        return "zone-" + std::to_string(number % m_fleet.zones);
    }

    void add_engine(const std::string& id, const std::string& zone,
                    double speed)
    {
        m_engines.emplace(id, ModelEngine(speed, m_fleet.memory, &m_stores));
        ListedRunner listed;
        listed.id = id;
        listed.service = "s";
        listed.zone = zone;
        listed.slots = 64;
        listed.models = {{"m", 1}};
        for (RunnerTable& table : m_tables)
            table.put(listed, m_now);
    }

    /// Lists all instances to each, long enough ago to take their shares.
    void list_instances()
    {
        for (RunnerTable& table : m_tables)
            for (std::size_t i = 0; i < m_tables.size(); ++i)
                table.members().listed({name_of(i), "", zone_of(i), 0},
                                       TimePoint(std::chrono::seconds(-9)));
    }

    static std::string name_of(std::size_t instance)
    {
        return "i" + std::to_string(instance);
    }

    static std::discrete_distribution<std::size_t>
    part_draw(const PlayedParts& parts)
    {
        std::vector<double> weights;
        for (std::size_t i = 0; i < parts.distinct; ++i)
            weights.push_back(
                std::pow(static_cast<double>(i + 1), -parts.skew));
        return {weights.begin(), weights.end()};
    }

    /// Draws the shared parts of a prompt of `kind`. Each part follows one of
    /// those before it only.
    std::vector<EnginePart> draw_parts(std::size_t kind)
    {
        std::size_t draw = 0;
        for (std::size_t i = 0; i < kind; ++i)
            draw += m_kinds[i].parts.size();
        std::vector<EnginePart> parts;
        std::size_t number = 0;
        for (auto of = m_kinds[kind].parts.rbegin();
             of != m_kinds[kind].parts.rend(); ++of) {
            const std::size_t place = m_kinds[kind].parts.rend() - of - 1;
            number = parts.empty() ? m_part_draws[draw + place](m_random)
                                   : number % of->distinct;
            parts.insert(parts.begin(), {(draw + place) * 1'000'000 + number,
                                         static_cast<double>(of->tokens)});
        }
        return parts;
    }

    /// Tells each instance what all others told the last time.
    void tell_load()
    {
        std::bernoulli_distribution is_lost(m_fleet.lost_reports);
        for (std::size_t i = 0; i < m_told.size(); ++i) {
            if (is_lost(m_random))
                continue;
            m_tables[i].set_remote_load(without(m_told_sum, m_told[i]),
                                        m_told_at);
            m_tables[i].apply_speed_report(
                m_speeds.others(name_of(i), m_told_at), m_told_at);
        }
        m_told.clear();
        m_told_sum.clear();
        m_told_at = m_now;
        for (RunnerTable& table : m_tables) {
            m_speeds.record_report(name_of(m_told.size()),
                                   table.speed_report(m_now), m_now);
            m_told.push_back(table.own_load());
            add_load(m_told_sum, m_told.back());
        }
    }

    /// Returns `all` less `part`, which is in it.
    static Loads without(Loads all, const Loads& part)
    {
        for (const auto& [id, load] : part) {
            RunnerLoad& left = all[id];
            left.calls -= load.calls;
            left.tokens -= load.tokens;
            left.resident -= load.resident;
        }
        return all;
    }

    RunnerTable& table_of(std::size_t number)
    {
        return m_tables[m_callers[number].instance];
    }

    void arrive(double load)
    {
        for (std::size_t kind = 0; kind < m_kinds.size(); ++kind) {
            std::poisson_distribution<int> count(
                load * m_kinds[kind].per_second * step_ms / 1000.0);
            for (int i = count(m_random); i > 0; --i) {
                const std::size_t instance = called_instance();
                m_callers.emplace_back();
                m_callers.back().kind = kind;
                m_callers.back().instance = instance;
                m_callers.back().first_try = m_now;
                m_callers.back().parts = draw_parts(kind);
                send(m_callers.size() - 1);
            }
        }
    }

    /// Returns the instance that the next caller calls.
    std::size_t called_instance()
    {
        if (!m_fleet.zone_demand)
            return m_callers.size() % m_tables.size();
        const double second = crosslink::seconds(m_now - TimePoint{});
        std::vector<double> weights(m_tables.size());
        for (std::size_t i = 0; i < weights.size(); ++i)
            weights[i] = m_fleet.zone_demand(i % m_fleet.zones, second);
        std::discrete_distribution<std::size_t> draw(weights.begin(),
                                                     weights.end());
        return draw(m_random);
    }

    void send(std::size_t number)
    {
        Caller& caller = m_callers[number];
        const PlayedKind& kind = m_kinds[caller.kind];
        // The query refers to it.
        const std::string zone = zone_of(caller.instance);
        RunnerQuery query;
        query.service = "s";
        query.zone = zone;
        query.model = "m";
        query.newest_version = 1;
        query.tokens = kind.to_read;
        query.resident = kind.resident;
        query.memory_tokens = m_fleet.memory;
        query.random = m_random();
        query.now = m_now;
        query.instances = m_fleet.instances;
        const std::string name = name_of(caller.instance);
        query.instance = name;
        query.home_instances = m_fleet.home_instances;
        std::vector<std::string> names;
        for (const EnginePart& part : caller.parts)
            names.push_back(std::to_string(part.id));
        if (!names.empty())
            query.affinity = names.back();
        add_parts(query, caller.parts);
        caller.to_read = query.tokens;
        const auto segments = segments_of(number, names);
        if (m_fleet.segments)
            query.segments = segments;
        auto pick = table_of(number).choose(query);
        if (m_fleet.policy)
            replace(*pick, query, number);
        if (m_fleet.limited) {
            const std::uint64_t random = m_random();
            auto refusal = refusal_of(caller, pick->wait, random);
            if (refusal && !query.segments.empty()) {
                query.segments = {};
                pick = table_of(number).choose(query);
                refusal = refusal_of(caller, pick->wait, random);
            }
            if (refusal) {
                refuse(number, *refusal);
                return;
            }
        }
        caller.runner = pick->id;
        caller.sent_to = pick->id;
        caller.crossed = pick->zone != zone;
        caller.sent_at = m_now;
        caller.wait = pick->wait;
        caller.expected =
            pick->wait + reading_time(caller.to_read, pick->prefill_rate);
        caller.due = table_of(number).await(
            pick->incarnation(), caller.expected,
            answer_allowance(kind.objective, false), m_now);
        table_of(number).sent(pick->incarnation(), caller.to_read,
                              query.resident, m_now);
        m_engines.at(pick->id).take(
            {number, kind.priority, static_cast<double>(kind.resident),
             static_cast<double>(kind.to_read),
             static_cast<double>(kind.to_make), caller.parts});
    }

    /// Replaces `pick` by the runner that the policy of the fleet chooses.
    void replace(RunnerPick& pick, const RunnerQuery& query, std::size_t number)
    {
        RunnerTable& table = table_of(number);
        pick.id = m_fleet.policy(table, query, pick);
        FleetLoad fleet;
        fleet.others_known = true;
        fleet.others_age = pick.load_age;
        fleet.holding_time = std::chrono::seconds(1);
        fleet.prefill_rate = pick.prefill_rate;
        pick.wait = expected_wait(*table.entry(pick.id), query, fleet);
    }

    /// Returns the shared segments of a prompt that comes to an instance. Their
    /// ids are those of `names`.
    std::vector<SharedSegment>
    segments_of(std::size_t number, const std::vector<std::string>& names)
    {
        const Caller& caller = m_callers[number];
        SegmentDemand& demand = m_demands[caller.instance];
        const std::uint64_t tokens = resident_of(caller);
        demand.called("s", tokens, m_now);
        std::vector<SharedSegment> segments;
        for (std::size_t i = 0; i < names.size(); ++i)
            segments.push_back(
                {names[i],
                 reading_time(
                     static_cast<std::uint64_t>(caller.parts[i].tokens)),
                 demand.contained("s", names[i], tokens, m_now)});
        return segments;
    }

    /// Adds where the shared parts of a prompt are kept, and what must be read.
    void add_parts(RunnerQuery& query, const std::vector<EnginePart>& parts)
    {
        const double now_ms = crosslink::seconds(m_now - TimePoint{}) * 1000;
        for (const EnginePart& part : parts) {
            const auto tokens = static_cast<std::uint32_t>(part.tokens);
            query.resident += tokens;
            if (m_stores.offers(part, now_ms))
                query.kept.fetched_tokens += tokens;
            else
                query.tokens += tokens;
        }
    }

    std::optional<QueueRefusal> refusal_of(const Caller& caller, Micros wait,
                                           std::uint64_t random)
    {
        const PlayedKind& kind = m_kinds[caller.kind];
        QueuedCall call;
        call.expected_wait = wait;
        call.objective = kind.objective;
        call.urgency =
            m_urgencies.called("s", kind.priority, kind.objective, m_now);
        return QueueLimit::refusal(call, random);
    }

    /// Refuses a call; its caller comes back once.
    void refuse(std::size_t number, const QueueRefusal& refusal)
    {
        Caller& caller = m_callers[number];
        const Micros time_left =
            caller.first_try + m_kinds[caller.kind].deadline - m_now;
        const TimePoint back =
            m_now + std::min(refusal.retry_after, time_left / 3);
        if (caller.repeated)
            caller.end = End::Refused;
        else
            m_returns.emplace(back, number);
        caller.repeated = true;
    }

    void come_back()
    {
        while (!m_returns.empty() && m_returns.begin()->first <= m_now) {
            const std::size_t number = m_returns.begin()->second;
            m_returns.erase(m_returns.begin());
            send(number);
        }
    }

    void leave()
    {
        for (std::size_t i = m_first_open; i < m_callers.size(); ++i) {
            Caller& caller = m_callers[i];
            const bool over =
                m_now >= caller.first_try + m_kinds[caller.kind].deadline;
            if (caller.runner.empty() || caller.began || !over)
                continue;
            m_engines.at(caller.runner).drop(i);
            caller.end = End::Failed;
            give_back(i);
        }
        while (m_first_open < m_callers.size() &&
               m_callers[m_first_open].end != End::Open &&
               m_callers[m_first_open].runner.empty())
            ++m_first_open;
    }

    void work(const std::string& id, ModelEngine& engine)
    {
        std::vector<std::uint64_t> begun;
        std::vector<std::uint64_t> ended;
        engine.work(step_ms, begun, ended);
        for (const std::uint64_t number : begun)
            begin(id, number);
        for (const std::uint64_t number : ended)
            finish(number);
    }

    void begin(const std::string& id, std::size_t number)
    {
        Caller& caller = m_callers[number];
        const PlayedKind& kind = m_kinds[caller.kind];
        RunnerTable& table = table_of(number);
        const Micros taken = m_now - caller.sent_at;
        table.prompt_read({id}, caller.to_read);
        table.await_ended({id}, caller.due, true, m_now);
        table.answered({id}, caller.expected, taken, m_now);
        if (caller.parts.empty())
            table.prefilled({id}, kind.to_read, caller.wait, taken, m_now);
        caller.began = true;
        caller.began_at = m_now;
        caller.end = m_now - caller.first_try <= kind.objective ? End::InTime
                                                                : End::Late;
    }

    void finish(std::size_t number)
    {
        const Caller& caller = m_callers[number];
        table_of(number).succeeded({caller.runner});
        table_of(number).ran(caller.runner, resident_of(caller),
                             m_now - caller.sent_at);
        give_back(number);
    }

    void give_back(std::size_t number)
    {
        Caller& caller = m_callers[number];
        if (!caller.began) {
            table_of(number).prompt_read({caller.runner}, caller.to_read);
            table_of(number).await_ended({caller.runner}, caller.due, false,
                                         m_now);
        }
        table_of(number).ended({caller.runner}, resident_of(caller));
        caller.runner.clear();
    }

    std::uint64_t resident_of(const Caller& caller) const
    {
        std::uint64_t resident = m_kinds[caller.kind].resident;
        for (const EnginePart& part : caller.parts)
            resident += static_cast<std::uint64_t>(part.tokens);
        return resident;
    }

    const std::vector<PlayedKind> m_kinds;
    const PlayedFleet m_fleet;
    ModelStores m_stores;
    /// Of each part of each kind.
    std::vector<std::discrete_distribution<std::size_t>> m_part_draws;
    std::vector<RunnerTable> m_tables; ///< One for each instance.
    std::vector<SegmentDemand> m_demands;
    std::vector<Loads> m_told; ///< By each instance, at m_told_at.
    Loads m_told_sum;
    TimePoint m_told_at{};
    SpeedAggregator m_speeds;
    std::map<std::string, ModelEngine> m_engines;
    std::vector<Caller> m_callers;
    std::multimap<TimePoint, std::size_t> m_returns;
    std::size_t m_first_open = 0;
    UrgencyTracker m_urgencies; ///< Of all instances.
    std::mt19937_64 m_random{m_fleet.seed};
    TimePoint m_now{};
};

} // namespace crosslink::testing
