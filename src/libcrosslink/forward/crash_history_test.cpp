// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/crash_history.h>

#include <catch2/catch.hpp>

#include <string>

namespace crosslink
{

namespace
{

constexpr std::string_view request = "0123456789abcdef01234567";

TimePoint
at(int millis)
{
    return TimePoint{} + std::chrono::hours(1) +
           std::chrono::milliseconds(millis);
}

/// A call whose runner ended at `ended`.
InterruptedCall
interrupted(int runner, int ended, std::string_view digest = request)
{
    return {std::string(digest), "runner-" + std::to_string(runner), 0, false,
            at(ended)};
}

/// The same, sent when another end was known.
InterruptedCall
interrupted_again(int runner, int ended)
{
    InterruptedCall call = interrupted(runner, ended);
    call.again = true;
    return call;
}

/// Returns a history in which `ends` runners ended under `request`, one after
/// the other, before 1,100 ms.
CrashHistory
ended_in_turn(int ends)
{
    CrashHistory history;
    for (int i = 0; i < ends; ++i)
        history.ended(i == 0 ? interrupted(i, 1000)
                             : interrupted_again(i, 1000 + 10 * i),
                      at(1100));
    return history;
}

} // namespace

TEST_CASE("a request is blocked once three runners ended under it")
{
    CHECK_FALSE(ended_in_turn(2).blocked(request, at(1100)));
    const CrashHistory history = ended_in_turn(3);
    CHECK(history.blocked(request, at(1100)));
    CHECK(history.ends(request) == 3);
    CHECK_FALSE(history.blocked("another", at(1100)));
}

TEST_CASE("copies that were under way at runners lost at once are one loss")
{
    CrashHistory history;
    for (int runner = 0; runner < 9; ++runner)
        history.ended(interrupted(runner, 1000 + 10 * runner), at(1100));
    CHECK_FALSE(history.blocked(request, at(1100)));
    // A copy that is sent when these ends are known, and ends one more runner.
    history.ended(interrupted_again(9, 1300), at(1300));
    CHECK(history.blocked(request, at(1300)));
}

TEST_CASE("a request that a runner answered is harmless")
{
    CrashHistory history = ended_in_turn(3);
    history.answered(request, at(1150), at(1150));
    CHECK_FALSE(history.blocked(request, at(1150)));
    CHECK(history.ends(request) == 0);
    // Weights that were loaded since may make it end runners.
    for (int i = 0; i < 3; ++i)
        history.ended(interrupted_again(10 + i, 2000 + 200 * i), at(2500));
    CHECK(history.blocked(request, at(2500)));
}

TEST_CASE("an answer counts where an end before it is heard of later")
{
    CrashHistory history;
    history.answered(request, at(2000), at(2000));
    CHECK(history.empty());
    CHECK(history.update(at(2000)).answered.empty());
    history.merge(ended_in_turn(3).update(at(1100)), at(1100), at(2100));
    CHECK_FALSE(history.blocked(request, at(2100)));
    CHECK(history.update(at(2100)).answered.size() == 1);
    // Answers without a reported end are forgotten one by one.
    for (std::size_t i = 0; i < 2 * CrashHistory::most_answers; ++i)
        history.answered("other-" + std::to_string(i), at(2000), at(2200));
    history.ended(interrupted(5, 1000, "other-0"), at(2200));
    CHECK(history.ends("other-0") == 1);
}

TEST_CASE("an end that several instances report counts once")
{
    CrashHistory history;
    CHECK(history.ended(interrupted(1, 1000), at(1100)));
    CHECK_FALSE(history.ended(interrupted(1, 1030), at(1200)));
    CHECK(history.ends(request) == 1);
    // A later process with the same id, recognized by its start or by the time.
    InterruptedCall restarted = interrupted(1, 1000);
    restarted.start_ms = 7;
    CHECK(history.ended(restarted, at(1200)));
    CHECK(history.ended(interrupted(1, 4000), at(4200)));
    CHECK(history.ends(request) == 3);
}

TEST_CASE("instances that exchange reports reach the same result")
{
    const CrashHistory seen = ended_in_turn(3);
    CrashHistory other;
    other.merge(seen.update(at(1200)), at(1210), at(1230));
    CHECK(other.blocked(request, at(1230)));
    CHECK(other.ends(request) == 3);
    // The other instance passes it on, and what comes back is nothing new.
    CrashHistory third;
    third.merge(other.update(at(1300)), at(1310), at(1330));
    CHECK(third.blocked(request, at(1330)));
    other.merge(third.update(at(1400)), at(1410), at(1430));
    CHECK(other.ends(request) == 3);
    // Reporting stops after a while, sooner for a single end.
    CHECK_FALSE(seen.update(at(5000)).broken.empty());
    CHECK(seen.update(at(20'000)).broken.empty());
    CHECK_FALSE(ended_in_turn(1).update(at(2000)).broken.empty());
    CHECK(ended_in_turn(1).update(at(5000)).broken.empty());
}

TEST_CASE("an answer is told to others as well")
{
    CrashHistory seen = ended_in_turn(3);
    CrashHistory other;
    other.merge(seen.update(at(1200)), at(1200), at(1200));
    seen.answered(request, at(1300), at(1300));
    other.merge(seen.update(at(1400)), at(1400), at(1400));
    CHECK_FALSE(other.blocked(request, at(1400)));
}

TEST_CASE("one more failure holds a request back until it is decided")
{
    // Copies that were lost at once do not block it.
    CrashHistory history;
    for (int runner = 0; runner < 3; ++runner)
        history.ended(interrupted(runner, 1000), at(1100));
    CHECK_FALSE(history.blocked(request, at(1100)));
    history.hold(request, at(1200), at(1200));
    CHECK(history.blocked(request, at(1200)));
    CHECK(history.to_record(at(1200)).empty());
    CHECK(history.take_newly_blocked(at(1200)).empty());
    CrashHistory other;
    other.merge(history.update(at(1300)), at(1300), at(1300));
    CHECK(other.blocked(request, at(1300)));
    // It is released without a decision, or after an answer.
    CHECK_FALSE(history.blocked(request, at(7200)));
    other.answered(request, at(1400), at(1400));
    CHECK_FALSE(other.blocked(request, at(1400)));
    // Fewer ends do not hold a request back.
    CrashHistory few = ended_in_turn(2);
    few.hold(request, at(1200), at(1200));
    CHECK_FALSE(few.blocked(request, at(1200)));
}

TEST_CASE("ends are forgotten after the retention time")
{
    CrashHistory history = ended_in_turn(3);
    const TimePoint late = at(1020) + CrashHistory::remembered;
    CHECK(history.blocked(request, late));
    CHECK_FALSE(history.blocked(request, late + Micros(1)));
    // Ends known before do not count together with later ones.
    history.ended(
        {std::string(request), "runner-9", 0, false, late + Micros(2)},
        late + Micros(2));
    CHECK(history.ends(request) == 1);
}

TEST_CASE("the number of requests is bounded, and the most suspect stays")
{
    CrashHistory history = ended_in_turn(3);
    for (std::size_t i = 0; i < 2 * CrashHistory::most_requests; ++i)
        history.ended(interrupted(1, 2000, "other-" + std::to_string(i)),
                      at(2100) + Micros(i));
    CHECK(history.blocked(request, at(2200)));
    CHECK(history.ends("other-0") == 0);
    const std::string last =
        "other-" + std::to_string(2 * CrashHistory::most_requests - 1);
    CHECK(history.ends(last) == 1);
    CHECK(history.update(at(2200)).broken.size() <= 160);
}

TEST_CASE("a record of the platform blocks a request until it is removed")
{
    CrashHistory fresh;
    fresh.recorded(request, at(0));
    CHECK(fresh.blocked(request, at(0)));
    CHECK(fresh.to_record(at(0)).empty());
    fresh.unrecorded(request);
    CHECK_FALSE(fresh.blocked(request, at(0)));
    fresh.recorded(request, at(0));
    fresh.recorded_only({"another"});
    CHECK(fresh.empty());
}

TEST_CASE("blocked requests are to be recorded, and harmless ones taken back")
{
    CrashHistory history = ended_in_turn(3);
    CHECK(history.to_record(at(1100)) ==
          std::vector<std::string>{std::string(request)});
    history.recorded(request, at(1150));
    CHECK(history.to_record(at(1150)).empty());
    CHECK(history.to_unrecord().empty());
    history.answered(request, at(1200), at(1200));
    CHECK_FALSE(history.blocked(request, at(1200)));
    CHECK(history.to_unrecord().size() == 1);
}

TEST_CASE("a request is reported as newly blocked once")
{
    CrashHistory history = ended_in_turn(2);
    CHECK(history.take_newly_blocked(at(1100)).empty());
    history.ended(interrupted_again(7, 1200), at(1300));
    CHECK(history.take_newly_blocked(at(1300)).size() == 1);
    CHECK(history.take_newly_blocked(at(1300)).empty());
}

TEST_CASE("a block whose record a restored store lacks holds and is made again")
{
    CrashHistory history;
    history.recorded(request, at(0));
    CHECK(history.to_record(at(100)).empty());
    history.record_lost(request);
    CHECK(history.blocked(request, at(100)));
    CHECK(history.to_record(at(100)).size() == 1);
    history.unrecorded(request);
    history.recorded_only({});
    CHECK(history.blocked(request, at(100)));
    history.recorded(request, at(200));
    CHECK(history.to_record(at(300)).empty());
    history.unrecorded(request);
    CHECK_FALSE(history.blocked(request, at(300)));
}

TEST_CASE("a record that a restored store has again blocks no answered request")
{
    CrashHistory history;
    history.recorded(request, at(0));
    history.answered(request, at(100), at(100));
    history.unrecorded(request);
    history.answered(request, at(200), at(200));
    history.record_restored(request, at(300));
    CHECK_FALSE(history.blocked(request, at(300)));
    CHECK(history.to_unrecord().size() == 1);
    CrashHistory unknown;
    unknown.record_restored(request, at(300));
    CHECK(unknown.blocked(request, at(300)));
}

} // namespace crosslink
