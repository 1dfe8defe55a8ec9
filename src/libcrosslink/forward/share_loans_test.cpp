// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// An instance that most callers connect to, before runners with a rate limit.

#include <crosslink/forward/share_loans.h>

#include "../testing/runners_of_a_zone.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace crosslink
{

namespace
{

using testing::at;
using testing::query;
using testing::table_of;

constexpr double limit = 40; ///< Calls a second of each runner.
constexpr std::array names{"i1", "i2", "i3", "i4"};

/// Four instances before two runners with limits. Calls that find no runner
/// borrow a place of another instance's share at once.
class Fleet
{
public:
    Fleet()
    {
        for (const std::string name : names) {
            RunnerTable& table =
                m_tables.emplace(name, table_of({"r1", "r2"})).first->second;
            table.members().gone("i", at(0));
            for (const std::string member : names)
                table.members().listed({member, "127.0.0.1:1", "a", 0}, at(0));
            for (const std::string runner : {"r1", "r2"})
                table.apply_limit_answer({runner}, limit, 0, settled);
        }
    }

    /// Sends a call that came to `name`. Returns whether a runner got it.
    bool call(const std::string& name, int millis)
    {
        const RunnerQuery own = query_of(name, millis);
        RunnerTable& table = m_tables.at(name);
        if (const auto pick = table.choose(own)) {
            table.reserve(pick->incarnation());
            table.sent(pick->incarnation(), 0, 0, own.now);
            table.ended(pick->incarnation());
            ++m_sent[pick->id];
            return true;
        }
        return borrow(table, own, millis);
    }
    std::size_t sent(const std::string& runner) { return m_sent[runner]; }
    std::size_t asked() const { return m_asked; }
    /// From now on instances reach others of their own half only: the first two
    /// or the last two of `names`. The platform lists all of them to each.
    void split() { m_split = true; }

    /// When all of them have their shares.
    const TimePoint settled = at(10'000);

private:
    static RunnerQuery query_of(const std::string& name, int millis)
    {
        RunnerQuery result = query(millis);
        result.instance = *std::find(names.begin(), names.end(), name);
        result.instances = names.size();
        result.random = static_cast<std::uint64_t>(millis) * 7919;
        return result;
    }
    bool borrow(RunnerTable& table, const RunnerQuery& own, int millis)
    {
        const bool first = is_first_half(own.instance);
        ShareLoans& loans = m_loans[first];
        const auto pick = table.choose_borrowed(own, loans);
        if (!pick)
            return false;
        ++m_asked;
        if (m_split && first != is_first_half(pick->share_holder)) {
            loans.refused(pick->share_holder, pick->id, ShareLoans::max_pause,
                          own.now);
            return false;
        }
        RunnerTable& lender = m_tables.at(pick->share_holder);
        const auto free = lender.lend(pick->incarnation(),
                                      query_of(pick->share_holder, millis));
        if (free) {
            loans.refused(pick->share_holder, pick->id,
                          std::chrono::duration_cast<Micros>(*free - own.now),
                          own.now);
            return false;
        }
        lender.loan_ended(pick->incarnation());
        ++m_sent[pick->id];
        return true;
    }

    static bool is_first_half(std::string_view name)
    {
        return name == names[0] || name == names[1];
    }

    std::map<std::string, RunnerTable> m_tables;
    /// Of each half: what one instance learned holds for the others of it.
    std::map<bool, ShareLoans> m_loans;
    bool m_split = false;
    std::map<std::string, std::size_t> m_sent;
    std::size_t m_asked = 0;
};

} // namespace

TEST_CASE(
    "an instance with most of the calls uses the shares that others leave")
{
    Fleet fleet;
    int served = 0;
    constexpr int calls = 240; // 60 a second, of the 76 that are given out
    for (int i = 0; i < calls; ++i)
        served += fleet.call("i1", 10'000 + i * 1000 / 60) ? 1 : 0;
    CHECK(served >= 0.95 * calls);
}

TEST_CASE("lent shares never exceed what a runner accepts")
{
    Fleet fleet;
    constexpr int seconds = 4;
    for (int ms = 0; ms < seconds * 1000; ms += 2)
        for (const std::string name : names)
            fleet.call(name, 10'000 + ms);
    for (const std::string runner : {"r1", "r2"}) {
        CHECK(fleet.sent(runner) <= limit * (seconds + 1));
        CHECK(fleet.sent(runner) >= 0.9 * limit * seconds);
    }
}

TEST_CASE("few questions are asked in vain when all shares are used up")
{
    Fleet fleet;
    constexpr int calls = 8000;
    int served = 0;
    for (int ms = 0; ms < 4000; ms += 2)
        for (const std::string name : names)
            served += fleet.call(name, 10'000 + ms) ? 1 : 0;
    CHECK(fleet.asked() <= 0.15 * calls);
    CHECK(served <= 2 * limit * 5);
}

// Neither half may take the places of the other one for its own.
TEST_CASE("two halves of a fleet use their own shares and no more")
{
    Fleet fleet;
    fleet.split();
    constexpr int seconds = 4;
    std::map<std::string, int> served;
    for (int ms = 0; ms < seconds * 1000; ms += 2)
        for (const std::string name : {"i1", "i3"})
            served[name] += fleet.call(name, 10'000 + ms) ? 1 : 0;
    for (const std::string runner : {"r1", "r2"})
        CHECK(fleet.sent(runner) <= limit * (seconds + 1));
    // Two runners, of which a half has a half.
    for (const std::string name : {"i1", "i3"}) {
        CHECK(served[name] >= 0.85 * limit * seconds);
        CHECK(served[name] <= limit * (seconds + 1));
    }
}

TEST_CASE("an instance that refused is not asked before a place may be free")
{
    ShareLoans loans;
    const auto may_ask = [&loans](std::string_view holder,
                                  std::string_view runner, TimePoint now) {
        return loans.ask_at(holder, runner) <= now;
    };
    loans.refused("i1", "r", std::chrono::milliseconds(300), at(0));
    CHECK_FALSE(may_ask("i1", "r", at(299)));
    CHECK(may_ask("i1", "r", at(300)));
    CHECK(may_ask("i2", "r", at(0)));
    CHECK(may_ask("i1", "other", at(0)));
    loans.refused("i1", "r", std::chrono::hours(1), at(1000));
    CHECK(may_ask("i1", "r", at(1000) + ShareLoans::max_pause));
}

TEST_CASE("what is remembered of refusals is bounded")
{
    ShareLoans loans;
    for (std::size_t i = 0; i < 3 * ShareLoans::max_refusals; ++i)
        loans.refused("i1", std::to_string(i), ShareLoans::max_pause, at(0));
    CHECK(loans.size() <= ShareLoans::max_refusals);
}

// An instance without a share would refuse calls while others have places.
TEST_CASE("a call may wait until an instance that refused is asked again")
{
    RunnerTable table = table_of({"r"});
    table.members().gone("i", at(0));
    table.members().listed({"i1", "127.0.0.1:1", "a", 0}, at(0));
    const TimePoint now = at(10'000);
    RunnerQuery asked = query(10'000);
    asked.instance = "i2";
    ShareLoans loans;
    CHECK_FALSE(table.next_loan(asked, loans));
    table.apply_limit_answer({"r"}, limit, 0, now);
    const auto unasked = table.next_loan(asked, loans);
    REQUIRE(unasked);
    CHECK(*unasked <= now);
    loans.refused("i1", "r", std::chrono::milliseconds(300), now);
    CHECK(table.next_loan(asked, loans) == at(10'300));
    asked.instance = "i1";
    CHECK_FALSE(table.next_loan(asked, loans));
}

TEST_CASE("nothing is borrowed where all runners of a zone are gone")
{
    RunnerTable table = table_of({"r"});
    table.remove("r");
    CHECK_FALSE(table.choose_borrowed(query(10'000), ShareLoans()));
}

TEST_CASE("nothing is borrowed at runners without a limit")
{
    RunnerTable table = table_of({"r"});
    table.members().listed({"i1", "127.0.0.1:1", "a", 0}, at(0));
    CHECK_FALSE(table.choose_borrowed(query(10'000), ShareLoans()));
}

} // namespace crosslink
