// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// Fleets of which all instances start at once: what they ask of the platform,
// and when they know its data.

#include <crosslink/membership/fleet_tree.h>
#include <crosslink/membership/start_plan.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace crosslink
{

namespace
{

constexpr std::uint64_t seed = 44;
constexpr Micros round_pause = std::chrono::milliseconds(100);
/// Time in which a holder reads all, and in which a parent passes it on.
constexpr Micros reading_time = std::chrono::seconds(1);
constexpr Micros passing_time = std::chrono::milliseconds(500);
constexpr int zone_count = 5;

/// One starting instance of a played fleet.
struct Starter {
    InstanceInfo info;
    StartPlan plan;
    std::vector<std::string> parents{};
    std::optional<TimePoint> knows_at{};
    bool finds_holder = false;
    int requests = 0; ///< To the platform.
    int whole_reads = 0;
};

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(100'000 + millis));
}

/// Plays a start of `size` instances, of which the first takes the duty at
/// `holder_from`, or none does.
class PlayedStart
{
public:
    PlayedStart(int size, std::optional<TimePoint> holder_from)
        : m_holder_from(holder_from)
    {
        std::mt19937_64 random(seed);
        for (int i = 0; i < size; ++i) {
            const std::string name = "i" + std::to_string(i);
            const std::string zone = "z" + std::to_string(i % zone_count);
            // One in twenty has a strong link, in each zone.
            const double link = i % 100 < zone_count ? 200 : 20;
            m_starters.push_back(
                {{name, name + ":1", zone, link}, StartPlan(random())});
        }
    }

    /// Plays until all instances know everything, or until `end`.
    void play(TimePoint end)
    {
        for (TimePoint now = at(0); now < end; now += round_pause)
            for (Starter& starter : m_starters)
                if (!starter.knows_at)
                    step(starter, now);
    }

    const std::vector<Starter>& starters() const { return m_starters; }

private:
    bool holder_is_known(TimePoint now) const
    {
        return m_holder_from && now >= *m_holder_from;
    }

    void step(Starter& starter, TimePoint now)
    {
        const bool holds =
            holder_is_known(now) && &starter == &m_starters.front();
        switch (starter.plan.next(holds, starter.finds_holder, now)) {
        case StartPlan::Step::ReadUnlessLarge:
            ++starter.requests;
            starter.plan.found_large();
            starter.finds_holder = holder_is_known(now);
            break;
        case StartPlan::Step::ReadAll:
            ++starter.whole_reads;
            starter.knows_at = now + reading_time;
            break;
        case StartPlan::Step::FindHolder:
            ++starter.requests;
            starter.finds_holder = holder_is_known(now);
            break;
        case StartPlan::Step::AskHolder:
            ask_holder(starter, now);
            break;
        case StartPlan::Step::Wait:
            break;
        }
        learn_from_parent(starter, now);
    }

    void ask_holder(Starter& starter, TimePoint now)
    {
        const Starter& holder = m_starters.front();
        if (!holder.knows_at || now < *holder.knows_at)
            return;
        std::vector<InstanceInfo> instances;
        for (const Starter& each : m_starters)
            instances.push_back(each.info);
        starter.parents = FleetTree(instances, holder.info.address)
                              .parents(starter.info.name, starter.info.zone,
                                       starter.info.address);
    }

    void learn_from_parent(Starter& starter, TimePoint now)
    {
        if (starter.parents.empty() || starter.knows_at)
            return;
        const auto parent = std::find_if(
            m_starters.begin(), m_starters.end(), [&](const Starter& each) {
                return each.info.address == starter.parents.front();
            });
        if (parent->knows_at && now >= *parent->knows_at)
            starter.knows_at = now + passing_time;
    }

    std::optional<TimePoint> m_holder_from;
    std::vector<Starter> m_starters;
};

} // namespace

TEST_CASE("a fleet that starts at once asks the platform for all only once")
{
    for (const int size : {100, 985, 1970}) {
        PlayedStart start(size, at(2000));
        start.play(at(7000));
        int whole_reads = 0;
        TimePoint last{};
        for (const Starter& starter : start.starters()) {
            whole_reads += starter.whole_reads;
            REQUIRE(starter.knows_at);
            last = std::max(last, *starter.knows_at);
            // One look at the start, and a few until somebody has the duty.
            CHECK(starter.requests <= 6);
        }
        CHECK(whole_reads == 1);
        CHECK(last <= at(8000));
    }
}

TEST_CASE("instances that find no holder read all, but not at once")
{
    constexpr int size = 985;
    PlayedStart start(size, std::nullopt);
    start.play(at(20'000));
    for (int second = 0; second < 20; ++second) {
        const auto readers = std::count_if(
            start.starters().begin(), start.starters().end(),
            [second](const Starter& starter) {
                return starter.knows_at &&
                       *starter.knows_at - reading_time >= at(1000 * second) &&
                       *starter.knows_at - reading_time <
                           at(1000 * (second + 1));
            });
        CHECK(readers <= size / 8);
        CHECK((second >= 6 || readers == 0));
    }
    CHECK(std::all_of(
        start.starters().begin(), start.starters().end(),
        [](const Starter& starter) { return starter.whole_reads == 1; }));
}

TEST_CASE("a holder that does not answer is looked for again")
{
    StartPlan plan(seed);
    using Step = StartPlan::Step;
    CHECK(plan.next(false, false, at(0)) == Step::ReadUnlessLarge);
    plan.found_large();
    plan.next(false, true, at(0));
    CHECK(plan.next(false, true, at(500)) == Step::AskHolder);
    CHECK(plan.next(false, true, at(510)) == Step::Wait);
    plan.holder_failed(at(520));
    CHECK(plan.next(false, true, at(530)) == Step::Wait);
    // It is asked again meanwhile, in case it is still the holder.
    CHECK(plan.next(false, true, at(1100)) == Step::FindHolder);
    CHECK(plan.next(false, true, at(1510)) == Step::AskHolder);
    CHECK(plan.next(false, true, at(1520)) == Step::Wait);
    CHECK(plan.next(true, true, at(1530)) == Step::ReadAll);
}

TEST_CASE("a holder that never answers is looked for as often as it should")
{
    CHECK(rc::check([](std::uint64_t random) {
        StartPlan plan(random);
        plan.next(false, false, at(0));
        plan.found_large();
        int found = 0;
        for (int millis = 0; millis < 5500; millis += 100) {
            const auto step = plan.next(false, true, at(millis));
            if (step == StartPlan::Step::AskHolder)
                plan.holder_failed(at(millis));
            found += step == StartPlan::Step::FindHolder ? 1 : 0;
        }
        RC_ASSERT(found >= 2);
    }));
}

TEST_CASE("an instance of a small fleet reads all until it has it")
{
    StartPlan plan(seed);
    for (const int millis : {0, 250, 500})
        CHECK(plan.next(false, false, at(millis)) ==
              StartPlan::Step::ReadUnlessLarge);
}

} // namespace crosslink
