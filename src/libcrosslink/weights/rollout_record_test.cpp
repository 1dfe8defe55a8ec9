// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/weights/rollout_record.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

using Versions = std::vector<std::uint64_t>;

constexpr Micros bound = std::chrono::seconds(10);
constexpr Micros limit = std::chrono::seconds(8);

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

RolloutRecord
record_of(const Versions& recorded, const Versions& marked)
{
    RolloutRecord record;
    record.recorded(recorded);
    for (const std::uint64_t version : marked)
        record.marked(version, true);
    return record;
}

PlatformAvailability
always_reached()
{
    return PlatformAvailability(Micros{0});
}

std::uint64_t
least(const WeightsHistory& history, int now,
      const PlatformAvailability& reach = always_reached())
{
    return history.minimum_version(bound, at(now), reach);
}

} // namespace

TEST_CASE("an instance that starts after the bound excludes replaced weights")
{
    WeightsHistory history;
    history.found(3, at(20000));
    record_of({1, 2, 3}, {3}).apply_to(history, limit, at(20000));
    CHECK(least(history, 20000) == 2);
    record_of({1, 2, 3}, {}).apply_to(history, limit, at(20000));
    CHECK(least(history, 20000) == 3);
}

TEST_CASE("a bound that has passed stays so while the platform is unreachable")
{
    PlatformAvailability reach(std::chrono::seconds(3));
    reach.lost(at(11000));
    reach.regained(at(20000));
    WeightsHistory history;
    history.found(2, at(20000));
    record_of({1, 2}, {}).apply_to(history, limit, at(20000));
    CHECK(least(history, 20001, reach) == 2);
}

TEST_CASE("a version with a mark counts as named when it was found")
{
    WeightsHistory history;
    history.found(2, at(5000));
    RolloutRecord record = record_of({1, 2}, {2});
    record.apply_to(history, limit, at(5000));
    CHECK(least(history, 14999) == 1);
    CHECK(history.left(2, limit, at(6000), always_reached()) ==
          std::chrono::seconds(7));
    CHECK(least(history, 15000) == 2);
}

TEST_CASE(
    "a mark that expires ends the bound, and sets the time of its version")
{
    WeightsHistory history;
    history.found(2, at(5000));
    RolloutRecord record = record_of({1, 2}, {2});
    record.apply_to(history, limit, at(5000));
    record.marked(2, false);
    record.apply_to(history, limit, at(9000));
    CHECK(least(history, 9000) == 2);
    CHECK(history.replaced_at(1) == at(1000));
    CHECK(history.left(2, limit, at(9000), always_reached()) == Micros{0});
    // The same record applied again changes nothing.
    record.apply_to(history, limit, at(9500));
    CHECK(history.replaced_at(1) == at(1000));
}

TEST_CASE("a mark that stays too long does not extend the bound")
{
    WeightsHistory history;
    history.found(2, at(5000));
    history.named_earlier(2, at(1000));
    record_of({1, 2}, {2}).apply_to(history, limit, at(6000));
    CHECK(least(history, 11000) == 2);
}

TEST_CASE("an instance that learned of weights in time needs no mark")
{
    WeightsHistory history;
    history.named(2, at(1000));
    record_of({2}, {}).apply_to(history, limit, at(5000));
    CHECK(least(history, 10999) == 0);
    CHECK(history.replaced_at(1) == at(1000));
}

TEST_CASE("older weights that are found count no later than newer ones")
{
    WeightsHistory history;
    history.named(4, at(1000));
    history.found(3, at(5000));
    history.found(4, at(5000));
    CHECK(history.replaced_at(2) == at(1000));
    CHECK(history.replaced_at(3) == at(1000));
}

TEST_CASE("versions that are not recorded yet are missing")
{
    WeightsHistory history;
    history.named(2, at(0));
    history.named(5, at(0));
    CHECK(RolloutRecord().missing(history) == Versions{2, 5});
    CHECK(record_of({2}, {}).missing(history) == Versions{5});
    // A full record has dropped older ones.
    const RolloutRecord full = record_of({3, 4, 5, 6, 7, 8, 9, 10}, {});
    CHECK(full.missing(history).empty());
    history.named(11, at(0));
    CHECK(full.missing(history) == Versions{11});
}

TEST_CASE("a record keeps the newest versions in ascending order")
{
    CHECK(with_version(Versions{2, 5}, 3) == Versions{2, 3, 5});
    CHECK(with_version(Versions{2, 3, 4, 5, 6, 7, 8, 9}, 10) ==
          Versions{3, 4, 5, 6, 7, 8, 9, 10});
}

// Weights that were named while no process ran were used for the whole bound
// from the start on, 12.2 s in all.
TEST_CASE(
    "weights that were named at an unknown time replace the older at once")
{
    const PlatformAvailability reach{Micros{0}};
    WeightsHistory history;
    history.found_at_start(2, at(5000));
    CHECK(history.minimum_version(limit, at(5000), reach) == 2);
    CHECK(history.left(2, limit, at(5000), reach) == Micros{0});
    SECTION("until another instance tells when")
    {
        history.named_earlier(2, at(1000));
        CHECK(history.minimum_version(limit, at(5000), reach) == 0);
        CHECK(history.minimum_version(limit, at(9000), reach) == 2);
    }
    SECTION("until the record shows that time is left")
    {
        const std::vector<std::uint64_t> versions{2};
        RolloutRecord record;
        record.recorded(versions);
        record.marked(2, true);
        record.apply_to(history, limit, at(6000));
        CHECK(history.minimum_version(limit, at(6000), reach) == 0);
        record.marked(2, false);
        record.apply_to(history, limit, at(7000));
        CHECK(history.minimum_version(limit, at(7000), reach) == 2);
    }
    SECTION("and also where the record shows that none is left")
    {
        const std::vector<std::uint64_t> versions{2};
        RolloutRecord record;
        record.recorded(versions);
        record.apply_to(history, limit, at(6000));
        CHECK(history.minimum_version(limit, at(6000), reach) == 2);
    }
    SECTION("and weights named later have their own time")
    {
        history.named(3, at(6000));
        CHECK(history.minimum_version(limit, at(6000), reach) == 2);
        CHECK(history.minimum_version(limit, at(14'000), reach) == 3);
    }
}

} // namespace crosslink
