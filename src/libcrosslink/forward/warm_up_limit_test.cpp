// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/rate_share.h>
#include <crosslink/forward/runner_table.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace crosslink
{

namespace
{

constexpr Micros cold_time = std::chrono::seconds(3);

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

ListedRunner
runner(const std::string& id, const std::string& zone,
       std::uint64_t start_ms = 1)
{
    ListedRunner listed;
    listed.id = id;
    listed.start_ms = start_ms;
    listed.service = "s";
    listed.address = "127.0.0.1:1";
    listed.zone = zone;
    listed.slots = 64;
    return listed;
}

/// A simulated fleet with runners of which some return cold.
struct Scenario {
    int instances = 71;
    int runners = 60;
    int cold = 25; ///< Number of them that return cold together.
    int calls_per_second = 450;
    double limit = 21.5;
    int news_spread_ms = 600; ///< Instances learn of a change this far apart.
    bool restarts = false;    ///< An instance restarts every 200 ms.
    bool split = false;       ///< Each half considers the other gone.
};

/// Instances that learn of the fleet at different times and send calls where
/// they choose. Counts the calls that each runner gets.
class ColdFleet
{
public:
    ColdFleet(const Scenario& scenario, std::uint64_t seed)
        : m_scenario(scenario), m_random(seed),
          m_tables(static_cast<std::size_t>(scenario.instances))
    {
        for (std::size_t i = 0; i < m_tables.size(); ++i)
            start(i, -10'000);
    }

    /// Simulates 6 s; the runners return cold after the first.
    void run()
    {
        for (int ms = 0; ms < 6000; ++ms) {
            if (ms == 1000)
                return_cold();
            if (m_scenario.split && ms == 1500)
                split();
            if (m_scenario.restarts && ms % 200 == 0)
                start(m_random() % m_tables.size(), ms);
            apply_news(ms);
            if (ms % 150 == 0)
                report_load(ms);
            std::poisson_distribution<int> count(m_scenario.calls_per_second /
                                                 1000.0);
            for (int i = count(m_random); i > 0; --i)
                send(m_random() % m_tables.size(), ms);
        }
    }

    /// Returns the most calls that a cold runner got within a second.
    std::size_t most_in_a_second() const { return m_most; }
    /// Returns how many calls arrived, how many found a runner, and how many of
    /// those found a cold one.
    int asked() const { return m_asked; }
    int sent() const { return m_sent; }
    int sent_cold() const { return m_sent_cold; }

private:
    struct News {
        std::size_t instance = 0;
        std::string runner;
    };

    static std::string name_of(std::size_t number)
    {
        return "i" + std::to_string(number);
    }
    static std::string zone_of(std::size_t number)
    {
        return "zone-" + std::to_string(number % 3);
    }

    /// A process that knows only what it reads at its start.
    void start(std::size_t number, int ms)
    {
        m_tables[number] = RunnerTable();
        RunnerTable& table = m_tables[number];
        for (std::size_t i = 0; i < m_tables.size(); ++i)
            table.members().listed({name_of(i), "127.0.0.1:1", zone_of(i), 0},
                                   at(ms));
        for (int i = 0; i < m_scenario.runners; ++i) {
            const auto place = static_cast<std::size_t>(i);
            ListedRunner listed =
                runner("r" + std::to_string(i), zone_of(place), m_back ? 2 : 1);
            if (i >= m_scenario.cold)
                listed.start_ms = 1;
            else if (m_back)
                listed.cold_for = cold_time;
            table.put(listed, at(ms));
        }
    }

    /// Runners that did not end have streams in flight, so that the returning
    /// ones are the idle ones.
    void report_load(int ms)
    {
        std::map<std::string, RunnerLoad> load;
        for (int i = m_scenario.cold; i < m_scenario.runners; ++i)
            load["r" + std::to_string(i)] = {40, 4000, 0};
        for (RunnerTable& table : m_tables)
            table.set_remote_load(load, at(ms));
    }

    /// Instances learn of the return one after the other. Before that,
    /// connection failures are detected and reported while the runners are
    /// away.
    void return_cold()
    {
        m_back = true;
        for (std::size_t i = 0; i < m_tables.size(); ++i)
            for (int r = 0; r < m_scenario.cold; ++r) {
                const std::string id = "r" + std::to_string(r);
                m_tables[i].connection_failed(id, at(900));
                const int delay = static_cast<int>(
                    m_random() %
                    static_cast<std::uint64_t>(m_scenario.news_spread_ms + 1));
                m_news.emplace(1000 + delay, News{i, id});
            }
    }

    /// Each half considers the other gone.
    void split()
    {
        for (std::size_t i = 0; i < m_tables.size(); ++i)
            for (std::size_t other = 0; other < m_tables.size(); ++other)
                if (other / 3 % 2 != i / 3 % 2)
                    m_tables[i].members().gone(name_of(other), at(1500));
    }

    void apply_news(int ms)
    {
        while (!m_news.empty() && m_news.begin()->first <= ms) {
            const News news = m_news.begin()->second;
            m_news.erase(m_news.begin());
            const auto place = std::stoul(news.runner.substr(1));
            ListedRunner listed = runner(news.runner, zone_of(place), 2);
            listed.cold_for = cold_time;
            m_tables[news.instance].put(listed, at(ms));
        }
    }

    void send(std::size_t number, int ms)
    {
        const std::string name = name_of(number);
        const std::string zone = zone_of(number);
        RunnerQuery query;
        query.service = "s";
        query.zone = zone;
        query.instance = name;
        query.instances = m_tables.size();
        query.warm_up = {cold_time, m_scenario.limit};
        query.tokens = 4000;
        query.random = m_random();
        query.now = at(ms);
        ++m_asked;
        RunnerTable& table = m_tables[number];
        const auto pick = table.choose(query);
        if (!pick)
            return;
        table.reserve(pick->incarnation());
        table.sent(pick->incarnation(), 0, 0, at(ms));
        ++m_sent;
        if (m_back && std::stoi(pick->id.substr(1)) < m_scenario.cold)
            count_cold(pick->id, ms);
    }

    void count_cold(const std::string& id, int ms)
    {
        ++m_sent_cold;
        std::deque<int>& times = m_got[id];
        while (!times.empty() && times.front() <= ms - 1000)
            times.pop_front();
        times.push_back(ms);
        if (ms < 4000)
            m_most = std::max(m_most, times.size());
    }

    const Scenario m_scenario;
    std::mt19937_64 m_random;
    std::vector<RunnerTable> m_tables; ///< One for each instance.
    std::multimap<int, News> m_news;   ///< By arrival time.
    std::map<std::string, std::deque<int>> m_got;
    bool m_back = false;
    std::size_t m_most = 0;
    int m_asked = 0;
    int m_sent = 0;
    int m_sent_cold = 0;
};

/// Returns the most calls that a cold runner got within a second, of three
/// simulations.
std::size_t
most_of(const Scenario& scenario)
{
    std::size_t most = 0;
    for (const std::uint64_t seed : {1, 2, 3}) {
        ColdFleet fleet(scenario, seed);
        fleet.run();
        most = std::max(most, fleet.most_in_a_second());
    }
    return most;
}

} // namespace

TEST_CASE("half of what a cold runner accepts is divided into shares")
{
    const RateShare many = warm_up_share(21.5, 24);
    CHECK(many.instances == 5);
    CHECK(many.calls == 2);
    const RateShare few = warm_up_share(21.5, 2);
    CHECK(few.instances == 2);
    CHECK(few.calls == 5);
    const RateShare least = warm_up_share(2, 300);
    CHECK(least.instances == 1);
    CHECK(least.calls == 1);
    CHECK(warm_up_share(0.5, 10).calls == 0);
    for (const double limit : {2.0, 3.0, 7.0, 21.5, 60.0, 400.0})
        for (std::size_t present = 1; present <= 300; ++present) {
            const RateShare share = warm_up_share(limit, present);
            const auto given =
                static_cast<double>(share.instances * share.calls);
            CHECK(given <= limit / 2);
        }
}

TEST_CASE("an exhausted share is available again after a second")
{
    const Micros window = warm_up_share(21.5, 24).window;
    SendWindow sends;
    CHECK(sends.free_at(2, window, at(0)) == at(0));
    sends.sent(at(0));
    sends.sent(at(400));
    CHECK(sends.free_at(2, window, at(500)) == at(1050));
    CHECK(sends.free_at(1, window, at(500)) == at(1450));
    CHECK(sends.free_at(2, window, at(1100)) == at(1100));
}

TEST_CASE("a fleet of any size spares cold runners")
{
    for (const int instances : {3, 9, 71, 295}) {
        Scenario scenario;
        scenario.instances = instances;
        INFO(instances << " instances");
        CHECK(static_cast<double>(most_of(scenario)) <= scenario.limit);
    }
}

TEST_CASE("a fleet that does not agree on its size spares cold runners")
{
    Scenario split;
    split.split = true;
    CHECK(static_cast<double>(most_of(split)) <= split.limit);
    Scenario restarts;
    restarts.restarts = true;
    CHECK(static_cast<double>(most_of(restarts)) <= restarts.limit);
}

TEST_CASE("without the limit cold runners get more than they bear")
{
    Scenario scenario;
    scenario.limit = 0;
    CHECK(most_of(scenario) > 22);
}

TEST_CASE("cold runners still get work, and every call finds a runner")
{
    const Scenario scenario;
    ColdFleet fleet(scenario, 1);
    fleet.run();
    INFO("sent " << fleet.sent() << ", to cold ones " << fleet.sent_cold());
    CHECK(fleet.sent() == fleet.asked());
    CHECK(fleet.sent_cold() > 300);
}

} // namespace crosslink
