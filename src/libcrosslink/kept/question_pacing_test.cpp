// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/question_pacing.h>

#include <catch2/catch.hpp>

#include <cstddef>
#include <random>
#include <vector>

namespace crosslink
{

namespace
{

constexpr std::uint64_t seed = 44;
constexpr const char* holder = "10.0.0.1:7700";
/// Time after which a question that is not answered fails.
constexpr Micros question_timeout = std::chrono::milliseconds(80);
constexpr Micros call_pause = std::chrono::milliseconds(100);

TimePoint
at(int millis)
{
    return TimePoint(std::chrono::milliseconds(100'000 + millis));
}

/// Returns how many questions a second a holder gets that answers none, from
/// `instances` with ten calls a second each, from the third second on.
std::size_t
questions_a_second(std::size_t instances)
{
    std::mt19937_64 random(seed);
    std::vector<QuestionPacing> fleet(instances);
    constexpr int seconds = 30;
    constexpr int settled = 2;
    std::size_t count = 0;
    for (TimePoint now = at(0); now < at(1000 * seconds); now += call_pause)
        for (QuestionPacing& pacing : fleet) {
            if (!pacing.may_ask(holder, now))
                continue;
            count += now >= at(1000 * settled) ? 1 : 0;
            pacing.failed(now, instances, random());
        }
    return count / (seconds - settled);
}

} // namespace

TEST_CASE("a holder that does not answer gets as many questions in any fleet")
{
    for (const std::size_t instances : {100, 301, 985, 1970, 3940}) {
        CAPTURE(instances);
        CHECK(questions_a_second(instances) <= 130);
    }
    // The bound does not hold where there is nobody to spare it from.
    CHECK(questions_a_second(9) >= 9);
}

TEST_CASE("in a small fleet the pause after a failed question does not grow")
{
    QuestionPacing pacing;
    TimePoint now = at(0);
    for (int i = 0; i < 10; ++i) {
        REQUIRE(pacing.may_ask(holder, now));
        pacing.failed(now, 9, static_cast<std::uint64_t>(i) * 7919);
        now += std::chrono::milliseconds(400);
    }
}

TEST_CASE("questions that were open together count as one failure")
{
    QuestionPacing pacing;
    constexpr std::size_t instances = 985;
    REQUIRE(pacing.may_ask(holder, at(0)));
    for (int i = 0; i < 20; ++i)
        pacing.failed(at(i), instances, 0);
    CHECK(pacing.may_ask(holder, at(200)));
}

TEST_CASE("an answer, or a new holder, ends the pauses")
{
    QuestionPacing pacing;
    constexpr std::size_t instances = 985;
    TimePoint now = at(0);
    for (int i = 0; i < 5; ++i) {
        REQUIRE(pacing.may_ask(holder, now));
        pacing.failed(now, instances, 0);
        now += std::chrono::seconds(12);
    }
    pacing.answered(now);
    pacing.failed(now, instances, 0);
    CHECK_FALSE(pacing.may_ask(holder, now + question_timeout));
    CHECK(pacing.may_ask(holder, now + std::chrono::milliseconds(400)));

    pacing.failed(now + std::chrono::seconds(1), instances, 0);
    CHECK_FALSE(pacing.may_ask(holder, now + std::chrono::seconds(1)));
    CHECK(pacing.may_ask("10.0.0.2:7700", now + std::chrono::seconds(1)));
    CHECK_FALSE(pacing.may_ask("", now + std::chrono::seconds(9)));
}

} // namespace crosslink
