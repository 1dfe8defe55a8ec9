// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// Applies random sequences of platform listings, of notices that processes give
// about themselves, and of call outcomes, and checks the choice of runners
// against a plain record of which of them may be sent calls.

#include <crosslink/forward/runner_table.h>

#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace crosslink
{

namespace
{

constexpr int runners = 5;
constexpr int steps = 400;
constexpr std::uint32_t seeds = 300;

/// A process as the test knows it.
struct Process {
    std::uint64_t start_ms = 1;
    bool listed = true;
    bool leaving = false;
    TimePoint backoff_until{};
    /// Nothing but its own notices keeps calls from it.
    bool is_sound = true;
};

class NoticesSimulation
{
public:
    explicit NoticesSimulation(std::uint32_t seed) : m_random(seed)
    {
        m_table.members().listed({"i", "", "a", 0}, TimePoint{});
        for (int i = 0; i < runners; ++i) {
            m_processes[id_of(i)] = {};
            list(id_of(i));
        }
    }

    void run()
    {
        for (int i = 0; i < steps; ++i) {
            m_now += std::chrono::milliseconds(draw(300));
            act(id_of(draw(runners)));
            check_choice();
            check_reserved();
        }
    }

private:
    static std::string id_of(int number)
    {
        return "r" + std::to_string(number);
    }
    int draw(int below) { return static_cast<int>(m_random() % below); }

    ListedRunner listed_of(const std::string& id) const
    {
        ListedRunner listed;
        listed.id = id;
        listed.start_ms = m_processes.at(id).start_ms;
        listed.service = "s";
        listed.address = "127.0.0.1:1";
        listed.zone = "a";
        listed.slots = 64;
        listed.models = {{"m", 1}};
        return listed;
    }
    void list(const std::string& id)
    {
        m_processes[id].listed = true;
        m_table.put(listed_of(id), m_now);
    }
    void start_anew(const std::string& id)
    {
        const std::uint64_t start_ms = m_processes[id].start_ms + 1;
        m_processes[id] = {};
        m_processes[id].start_ms = start_ms;
        list(id);
    }
    void list_only(const std::string& without)
    {
        std::vector<ListedRunner> all;
        for (auto& [id, process] : m_processes) {
            process.listed = process.listed && id != without;
            if (process.listed)
                all.push_back(listed_of(id));
        }
        m_table.sync(all, m_now);
    }
    void lapse(const std::string& id)
    {
        m_processes[id].listed = false;
        m_table.lapsed(id, m_now);
        m_table.expire(m_now);
    }

    void act(const std::string& id)
    {
        Process& process = m_processes[id];
        const RunnerIncarnation now{id, process.start_ms};
        switch (draw(14)) {
        case 0:
        case 1:
        case 2:
            list(id);
            break;
        case 3:
            start_anew(id);
            break;
        case 4:
            process.listed = false;
            m_table.remove(id);
            break;
        case 5:
            list_only(id);
            break;
        case 6:
            lapse(id);
            break;
        case 7:
            m_table.set_leaving(now, m_now);
            process.leaving = true;
            break;
        case 8:
            // A late notice of the previous process.
            m_table.set_leaving({id, process.start_ms - 1}, m_now);
            break;
        case 9: {
            const TimePoint until =
                m_now + std::chrono::milliseconds(draw(900));
            m_table.set_backoff(now, until, m_now);
            process.backoff_until = std::max(process.backoff_until, until);
            break;
        }
        case 10:
            m_table.set_backoff({id, process.start_ms - 1},
                                m_now + std::chrono::hours(1), m_now);
            break;
        case 11:
            m_table.apply_limit_answer(now, 0.2, 0, m_now);
            process.is_sound = false;
            break;
        case 12:
            m_table.refused(now, m_now, std::chrono::milliseconds(120));
            process.is_sound = false;
            break;
        default:
            start_anew(id);
            break;
        }
    }

    RunnerQuery query()
    {
        RunnerQuery query;
        query.service = "s";
        query.zone = "a";
        query.instance = "i";
        query.model = draw(2) == 0 ? "m" : "";
        query.affinity = draw(2) == 0 ? "part" : "";
        query.random = m_random();
        query.now = m_now;
        return query;
    }
    bool may_be_sent(const std::string& id) const
    {
        const Process& process = m_processes.at(id);
        return process.listed && !process.leaving &&
               process.backoff_until <= m_now;
    }
    bool any_sound() const
    {
        for (const auto& [id, process] : m_processes)
            if (process.is_sound && may_be_sent(id))
                return true;
        return false;
    }

    void check_choice()
    {
        const auto pick = m_table.choose(query());
        if (pick)
            CHECK(may_be_sent(pick->id));
        else
            CHECK_FALSE(any_sound());
        if (pick)
            send(*pick);
    }
    void send(const RunnerPick& pick)
    {
        m_table.reserve(pick.incarnation());
        m_table.sent(pick.incarnation(), 10, 10, m_now);
        if (draw(2) == 0)
            m_table.ended(pick.incarnation(), 10);
    }
    /// A call that waits for its place while the state changes.
    void check_reserved()
    {
        const NextAvailability chance = m_table.next_available(query());
        if (!chance.at)
            return;
        m_table.reserve(chance.incarnation());
        if (draw(2) == 0)
            act(chance.runner);
        m_now = std::max(m_now, std::min(*chance.at, m_now + longest_wait));
        const auto pick =
            m_table.choose_reserved(query(), chance.incarnation());
        if (pick)
            CHECK(may_be_sent(pick->id));
    }

    static constexpr Micros longest_wait = std::chrono::milliseconds(500);

    std::mt19937_64 m_random;
    RunnerTable m_table;
    std::map<std::string, Process> m_processes;
    TimePoint m_now{std::chrono::seconds(10)};
};

} // namespace

TEST_CASE("what a process says of itself holds in any order of other news")
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        NoticesSimulation(seed).run();
    }
}

} // namespace crosslink
