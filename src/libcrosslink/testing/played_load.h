// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "model_engine.h"

#include <crosslink/forward/fair_share_tracker.h>
#include <crosslink/forward/lateness_tracker.h>
#include <crosslink/forward/load_aggregator.h>
#include <crosslink/forward/queue_limit.h>
#include <crosslink/forward/runner_price.h>
#include <crosslink/forward/runner_table.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace crosslink::testing
{

/// A kind of call that callers send.
struct PlayedKind {
    double per_second = 0; ///< At load 1.
    std::uint32_t priority = 0;
    std::uint32_t resident = 0; ///< Tokens of KV memory.
    std::uint32_t to_read = 0;  ///< Of them, not kept anywhere.
    std::uint32_t to_make = 0;  ///< Output tokens.
    Micros objective{0};        ///< To the first token.
    Micros deadline{0};         ///< The caller waits no longer.
    int repeats = 1;            ///< Of a caller whose call is refused.
};

/// What callers of one kind got whose first try fell into some span.
struct PlayedTally {
    int asked = 0;
    int in_time = 0; ///< First token within the objective of the first try.
    int late = 0;
    int refused = 0; ///< At the end, after their repeat.
    int failed = 0;  ///< Not answered before their deadline.
    /// Resident tokens of all of them, and of those answered in time.
    double asked_tokens = 0;
    double in_time_tokens = 0;
    Micros longest{0}; ///< From a first try to its first token.

    double in_time_part() const
    {
        return asked == 0 ? 1 : static_cast<double>(in_time) / asked;
    }
};

/// The fleet that is played.
struct PlayedFleet {
    std::size_t engines = 9;
    std::size_t instances = 1;
    int told_ms = 150;     ///< Between two times that load is told.
    int told_age_ms = 0;   ///< Age of the load that is told, at least told_ms.
    bool limited = true;   ///< Calls beyond the limit are refused.
    double slow_speed = 1; ///< Of each third engine.
    double speed = 1;      ///< Of all engines.
    std::uint32_t memory = 70'000; ///< Of an engine, in tokens.
    std::size_t zones = 1; ///< Over which engines and instances are spread.
    std::size_t home_instances = 0; ///< See RunnerQuery.
    /// Part of the calls that each account sends; empty for no accounts.
    std::vector<double> accounts{};
    /// Demand of a zone relative to the others; empty if all are alike.
    std::function<double(std::size_t zone, double second)> zone_demand{};
};

/// Which callers are counted: those whose first try came from second `from`
/// until second `to`, and of one kind, account and zone where these are set.
struct PlayedSpan {
    double from = 0;
    double to = 0;
    std::optional<std::size_t> kind{};
    std::optional<std::size_t> account{};
    std::optional<std::size_t> zone{};
};

/// Modelled engines behind the choice and the limit of some instances, played
/// against callers that repeat once: after a refusal when told to.
class PlayedLoad
{
public:
    using Load = std::function<double(double second)>;

    PlayedLoad(std::vector<PlayedKind> kinds, const PlayedFleet& fleet)
        : m_kinds(std::move(kinds)), m_fleet(fleet), m_tables(fleet.instances),
          m_shares(fleet.instances), m_lateness(fleet.instances)
    {
        for (std::size_t i = 0; i < fleet.engines; ++i)
            add_engine("r" + std::to_string(i), zone_of(i),
                       fleet.speed * (i % 3 == 2 ? fleet.slow_speed : 1));
        for (std::size_t i = 0; i < fleet.instances; ++i)
            list_instance(i);
    }

    /// Plays `seconds` under `load`, a multiple of the kinds' rates.
    void play(int seconds, const Load& load)
    {
        for (int ms = 0; ms < seconds * 1000; ms += step_ms) {
            m_now = TimePoint(std::chrono::milliseconds(ms));
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
        return tally({from, to, kind});
    }

    PlayedTally tally(const PlayedSpan& span) const
    {
        PlayedTally sum;
        for (const Caller& caller : m_callers) {
            if (!is_in(caller, span))
                continue;
            const double tokens = m_kinds[caller.kind].resident;
            ++sum.asked;
            sum.asked_tokens += tokens;
            sum.in_time += caller.end == End::InTime ? 1 : 0;
            sum.in_time_tokens += caller.end == End::InTime ? tokens : 0;
            sum.late += caller.end == End::Late ? 1 : 0;
            sum.refused += caller.end == End::Refused ? 1 : 0;
            sum.failed += caller.end == End::Failed ? 1 : 0;
            if (caller.began)
                sum.longest =
                    std::max(sum.longest, caller.began_at - caller.first_try);
        }
        return sum;
    }

private:
    enum class End { Open, InTime, Late, Refused, Failed };
    struct Caller {
        std::size_t kind = 0;
        TimePoint first_try{};
        TimePoint sent_at{};
        Micros expected{0}; ///< From sent_at to its first token.
        std::string runner; ///< Empty while it is at none.
        End end = End::Open;
        int repeats = 0;
        bool began = false;
        TimePoint began_at{};
        std::size_t instance = 0; ///< That it calls.
        std::size_t account = 0;
    };

    using Loads = std::map<std::string, RunnerLoad>;
    /// What all instances reported at a time.
    struct Report {
        TimePoint at{};
        std::vector<Loads> loads; ///< By instance.
        Loads load_sum;
        std::vector<AccountUsages> usages;
        AccountUsages usage_sum;
    };

    static constexpr int step_ms = 5;
    /// As calls to engines count for the shares of accounts.
    static constexpr double tokens_per_unit = 1000;

    std::string zone_of(std::size_t number) const
    {
        return "zone-" + std::to_string(number % m_fleet.zones);
    }

    bool is_in(const Caller& caller, const PlayedSpan& span) const
    {
        const double came = crosslink::seconds(caller.first_try - TimePoint{});
        return came >= span.from && came < span.to &&
               caller.kind == span.kind.value_or(caller.kind) &&
               caller.account == span.account.value_or(caller.account) &&
               caller.instance % m_fleet.zones ==
                   span.zone.value_or(caller.instance % m_fleet.zones);
    }

    void add_engine(const std::string& id, const std::string& zone,
                    double speed)
    {
        m_engines.emplace(id, ModelEngine(speed, m_fleet.memory));
        ListedRunner listed;
        listed.id = id;
        listed.service = "s";
        listed.zone = zone;
        listed.slots = 64;
        listed.models = {{"m", 1}};
        for (RunnerTable& table : m_tables)
            table.put(listed, m_now);
    }

    static std::string instance_name(std::size_t number)
    {
        return "i" + std::to_string(number);
    }

    /// Lists an instance long before the play, so that it counts at once.
    void list_instance(std::size_t number)
    {
        InstanceInfo info;
        info.name = instance_name(number);
        info.zone = zone_of(number);
        for (RunnerTable& table : m_tables)
            table.members().listed(info, m_now - std::chrono::minutes(1));
    }

    /// Tells each instance what all others reported the told age ago.
    void tell_load()
    {
        m_reports.push_back({m_now, {}, {}, {}, {}});
        Report& report = m_reports.back();
        for (std::size_t i = 0; i < m_tables.size(); ++i) {
            report.loads.push_back(m_tables[i].own_load());
            add_load(report.load_sum, report.loads.back());
            report.usages.push_back(m_shares[i].report(m_now));
            add_load(report.usage_sum, report.usages.back());
        }
        const int age = std::max(m_fleet.told_age_ms, m_fleet.told_ms);
        const TimePoint as_of = m_now - std::chrono::milliseconds(age);
        while (m_reports.size() > 1 && m_reports[1].at <= as_of)
            m_reports.pop_front();
        if (m_reports.front().at <= as_of)
            apply(m_reports.front());
    }

    void apply(const Report& report)
    {
        for (std::size_t i = 0; i < m_tables.size(); ++i) {
            Loads loads = report.load_sum;
            remove_load(loads, report.loads[i]);
            m_tables[i].set_remote_load(loads, report.at);
            AccountUsages usages = report.usage_sum;
            remove_load(usages, report.usages[i]);
            m_shares[i].set_others(usages, report.at);
        }
    }

    RunnerTable& table_of(std::size_t number)
    {
        return m_tables[m_callers[number].instance];
    }

    /// Draws the instance that a new caller calls: of its own zone.
    std::size_t draw_instance()
    {
        if (!m_fleet.zone_demand)
            return m_callers.size() % m_tables.size();
        std::vector<double> demands;
        for (std::size_t zone = 0; zone < m_fleet.zones; ++zone)
            demands.push_back(m_fleet.zone_demand(
                zone, crosslink::seconds(m_now - TimePoint{})));
        std::discrete_distribution<std::size_t> zone(demands.begin(),
                                                     demands.end());
        const std::size_t drawn = zone(m_origins);
        const std::size_t of_zone = m_tables.size() / m_fleet.zones;
        return drawn + m_fleet.zones * (m_origins() % of_zone);
    }

    std::size_t draw_account()
    {
        if (m_fleet.accounts.empty())
            return 0;
        return std::discrete_distribution<std::size_t>(
            m_fleet.accounts.begin(), m_fleet.accounts.end())(m_origins);
    }

    void arrive(double load)
    {
        for (std::size_t kind = 0; kind < m_kinds.size(); ++kind) {
            std::poisson_distribution<int> count(
                load * m_kinds[kind].per_second * step_ms / 1000.0);
            for (int i = count(m_random); i > 0; --i) {
                Caller caller;
                caller.kind = kind;
                caller.first_try = m_now;
                caller.instance = draw_instance();
                caller.account = draw_account();
                m_callers.push_back(caller);
                send(m_callers.size() - 1);
            }
        }
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
        const std::string name = instance_name(caller.instance);
        query.instance = name;
        query.home_instances = m_fleet.home_instances;
        const std::string account = "a" + std::to_string(caller.account);
        FairShareTracker& shares = m_shares[caller.instance];
        const double units = kind.resident / tokens_per_unit;
        shares.asked("s", account, m_now);
        const auto pick = table_of(number).choose(query);
        QueuedCall queued;
        queued.expected_wait = pick->wait;
        queued.account_above_share = shares.is_ahead("s", account, m_now);
        queued.share_used = shares.used_part("s", account, m_now);
        if (m_fleet.limited && !is_taken(caller, queued, number))
            return;
        shares.taken("s", account, units, m_now);
        caller.runner = pick->id;
        caller.sent_at = m_now;
        caller.expected = pick->wait + reading_time(kind.to_read);
        table_of(number).sent(pick->incarnation(), kind.to_read, kind.resident,
                              m_now);
        m_engines.at(pick->id).take({number, kind.priority,
                                     static_cast<double>(kind.resident),
                                     static_cast<double>(kind.to_read),
                                     static_cast<double>(kind.to_make)});
    }

    /// Returns whether the limit lets a call through; else its caller comes
    /// back once.
    bool is_taken(Caller& caller, QueuedCall call, std::size_t number)
    {
        const PlayedKind& kind = m_kinds[caller.kind];
        call.expected_wait +=
            m_lateness[caller.instance].excess("s", kind.priority, m_now);
        call.objective = kind.objective;
        call.urgency =
            m_urgencies.called("s", kind.priority, kind.objective, m_now);
        const auto refusal = QueueLimit::refusal(call, m_random());
        if (!refusal)
            return true;
        const Micros time_left = caller.first_try + kind.deadline - m_now;
        const TimePoint back =
            m_now + std::min(refusal->retry_after, time_left / 3);
        if (caller.repeats == kind.repeats || time_left < min_retry_delay)
            caller.end = End::Refused;
        else
            m_returns.emplace(back, number);
        ++caller.repeats;
        return false;
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
        table_of(number).prompt_read({id}, kind.to_read);
        m_lateness[caller.instance].answered(
            "s", kind.priority, kind.objective,
            std::chrono::duration_cast<Micros>(m_now - caller.sent_at) -
                caller.expected,
            m_now);
        caller.began = true;
        caller.began_at = m_now;
        caller.end = m_now - caller.first_try <= kind.objective ? End::InTime
                                                                : End::Late;
    }

    void finish(std::size_t number)
    {
        const Caller& caller = m_callers[number];
        table_of(number).ran(caller.runner, m_kinds[caller.kind].resident,
                             m_now - caller.sent_at);
        give_back(number);
    }

    void give_back(std::size_t number)
    {
        Caller& caller = m_callers[number];
        const PlayedKind& kind = m_kinds[caller.kind];
        if (!caller.began)
            table_of(number).prompt_read({caller.runner}, kind.to_read);
        table_of(number).ended({caller.runner}, kind.resident);
        caller.runner.clear();
    }

    const std::vector<PlayedKind> m_kinds;
    const PlayedFleet m_fleet;
    std::vector<RunnerTable> m_tables;      ///< One for each instance.
    std::vector<FairShareTracker> m_shares; ///< One for each instance.
    std::vector<LatenessTracker> m_lateness;
    std::deque<Report> m_reports; ///< In the order of time.
    std::map<std::string, ModelEngine> m_engines;
    std::vector<Caller> m_callers;
    std::multimap<TimePoint, std::size_t> m_returns;
    std::size_t m_first_open = 0;
    UrgencyTracker m_urgencies; ///< Of all instances.
    std::mt19937_64 m_random{1};
    std::mt19937_64 m_origins{2}; ///< Of instances and accounts.
    TimePoint m_now{};
};

} // namespace crosslink::testing
