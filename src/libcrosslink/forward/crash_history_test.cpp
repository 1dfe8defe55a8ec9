// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/crash_history.h>
#include <crosslink/forward/crash_key.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

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

const std::string part = part_crash_key("part", "");
const std::string shared = part_crash_key("shared", "");

/// Runners from `first` on end, `count` of them, under all of `keys`.
void
end_runners(CrashHistory& history, const std::vector<std::string>& keys,
            int first, int count)
{
    for (int i = first; i < first + count; ++i)
        for (const std::string& key : keys) {
            InterruptedCall call = interrupted_again(i, 1000 + 10 * i);
            call.key = key;
            history.ended(call, at(1100));
        }
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

TEST_CASE("calls that one process took with it count as one by one")
{
    CrashHistory together;
    CrashHistory one_by_one;
    for (int runner = 0; runner < 4; ++runner) {
        std::vector<InterruptedCall> calls;
        for (const std::string_view key : {request, std::string_view(part)})
            calls.push_back(interrupted(runner, 1000 + 50 * runner, key));
        for (InterruptedCall& call : calls) {
            call.again = runner > 0;
            one_by_one.ended(call, at(1500));
        }
        together.ended(calls, at(1500));
    }
    for (const std::string_view key : {request, std::string_view(part)}) {
        CHECK(together.ends(key) == 4);
        CHECK(one_by_one.ends(key) == 4);
        CHECK(together.blocked(key, at(1600)) ==
              one_by_one.blocked(key, at(1600)));
    }
    CHECK(together.take_newly_blocked(at(1600)) ==
          one_by_one.take_newly_blocked(at(1600)));
    CHECK(together.blocked(request, at(1600)));
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
    for (std::size_t i = 0; i < 2 * CrashHistory::most_keys; ++i)
        history.ended(interrupted(1, 2000, "other-" + std::to_string(i)),
                      at(2100) + Micros(i));
    CHECK(history.blocked(request, at(2200)));
    CHECK(history.ends("other-0") == 0);
    const std::string last =
        "other-" + std::to_string(2 * CrashHistory::most_keys - 1);
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

TEST_CASE("what was in flight beside the part at fault is not blocked")
{
    CrashHistory history;
    end_runners(history, {part, shared}, 0, 3);
    end_runners(history, {part}, 3, 1);
    CHECK(history.blocked(part, at(1100)));
    CHECK_FALSE(history.blocked(shared, at(1100)));
    CHECK(history.to_record(at(1100)) == std::vector<std::string>{part});
    // It is at fault itself where more ends come.
    end_runners(history, {shared}, 4, 3);
    CHECK(history.blocked(shared, at(1100)));
}

TEST_CASE("a part that was answered before is blocked once answers settled")
{
    CrashHistory history;
    history.answered(part, at(500), at(500));
    end_runners(history, {part}, 0, 3);
    CHECK_FALSE(history.blocked(part, at(1100)));
    const TimePoint settled = at(1100) + CrashHistory::settle_time;
    CHECK(history.blocked(part, settled));
    // Others know of that answer too.
    CrashHistory other;
    other.merge(history.update(at(1200)), at(1200), at(1200));
    CHECK_FALSE(other.blocked(part, at(1200)));
    CHECK(other.blocked(part, at(1200) + CrashHistory::settle_time));
}

TEST_CASE("an answer that is reported to and fro gets no later")
{
    CrashHistory one;
    CrashHistory other;
    end_runners(one, {part}, 0, 1);
    other.merge(one.update(at(1100)), at(1100), at(1100));
    one.answered(part, at(1200), at(1200));
    for (int millis = 1300; millis < 2500; millis += 120) {
        other.merge(one.update(at(millis)), at(millis + 60), at(millis + 60));
        one.merge(other.update(at(millis + 60)), at(millis + 120),
                  at(millis + 120));
    }
    end_runners(one, {part}, 50, 1);
    CHECK(one.ends(part) == 1);
}

TEST_CASE("an end that is reported to and fro gets no earlier")
{
    CrashHistory one;
    CrashHistory other;
    one.answered(request, at(500), at(500));
    one.ended(interrupted(1, 1000), at(1000));
    one.ended(interrupted(2, 1000), at(1000));
    for (int millis = 1100; millis < 9000; millis += 120) {
        other.merge(one.update(at(millis)), at(millis - 60), at(millis));
        one.merge(other.update(at(millis)), at(millis - 60), at(millis));
    }
    CHECK(one.ends(request) == 2);
}

TEST_CASE("more ends than are kept do not put off that a part is blocked")
{
    CrashHistory one;
    CrashHistory other;
    one.answered(part, at(500), at(500));
    end_runners(one, {part}, 0, 40);
    for (int millis = 1200; millis < 3000; millis += 120) {
        other.merge(one.update(at(millis)), at(millis), at(millis));
        end_runners(one, {part}, 0, 40);
        one.merge(other.update(at(millis)), at(millis), at(millis));
    }
    CHECK(one.blocked(part, at(3000)));
    CHECK(other.blocked(part, at(3000)));
}

TEST_CASE("a blocked part that may be harmless is tried twice")
{
    CrashHistory history;
    history.answered(part, at(500), at(500));
    end_runners(history, {part}, 0, 3);
    const std::vector<std::string> keys{part, "own"};
    const TimePoint last = at(1020);
    CHECK_FALSE(history.take_trial(keys, at(2000)));
    const TimePoint first = last + CrashHistory::trial_pauses[0];
    CHECK(history.may_try(keys, first));
    CHECK(history.take_trial(keys, first));
    // The call was not sent.
    history.return_trial(part);
    CHECK(history.take_trial(keys, first));
    CHECK_FALSE(history.may_try(keys, first + Micros(1)));
    CHECK_FALSE(history.take_trial(keys, first + Micros(1)));
    const TimePoint second = last + CrashHistory::trial_pauses[1];
    CHECK(history.take_trial(keys, second));
    CHECK_FALSE(history.take_trial(keys, second + CrashHistory::settle_time));
    history.answered(part, second, second);
    CHECK_FALSE(history.blocked(part, second));
}

TEST_CASE("a part that nothing else explains and that was never answered is "
          "not tried")
{
    CrashHistory history;
    end_runners(history, {part}, 0, 3);
    CHECK_FALSE(history.take_trial(std::vector<std::string>{part}, at(60'000)));
}

TEST_CASE("a part that another explains as well is tried without that one")
{
    CrashHistory history;
    end_runners(history, {part, shared}, 0, 3);
    const bool part_blocked = history.blocked(part, at(1100));
    CHECK(part_blocked != history.blocked(shared, at(1100)));
    const std::string& blocked = part_blocked ? part : shared;
    const TimePoint later = at(1020) + CrashHistory::trial_pauses[0];
    CHECK_FALSE(
        history.take_trial(std::vector<std::string>{part, shared}, later));
    CHECK(history.take_trial(std::vector<std::string>{blocked, "own"}, later));
    // The answer shows that the other one is at fault.
    history.answered(blocked, later, later);
    CHECK(history.blocked(part_blocked ? shared : part, later));
}

TEST_CASE("the record of a part whose ends another explains is taken back")
{
    CrashHistory history;
    end_runners(history, {shared}, 0, 3);
    CHECK(history.blocked(shared, at(1100)));
    history.recorded(shared, at(1100));
    // The part at fault was seen at these runners by another instance.
    end_runners(history, {part}, 0, 4);
    CHECK_FALSE(history.blocked(shared, at(1100)));
    CHECK(history.to_unrecord() == std::vector<std::string>{shared});
    CHECK(history.to_record(at(1100)) == std::vector<std::string>{part});
}

} // namespace crosslink
