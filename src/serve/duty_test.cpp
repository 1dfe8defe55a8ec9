// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "duty.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <thread>

namespace crosslink
{

namespace
{

constexpr Micros long_pause = std::chrono::seconds(60);

/// Returns a round that counts itself, and is followed by a long pause.
Duty::Round
counting(std::atomic<int>& rounds)
{
    return [&rounds] {
        ++rounds;
        return long_pause;
    };
}

void
wait_for_rounds(const std::atomic<int>& rounds, int count)
{
    while (rounds < count)
        std::this_thread::yield();
}

} // namespace

TEST_CASE("a duty runs from its start to its stop, and may start again")
{
    std::atomic<int> rounds{0};
    Duty duty("test", counting(rounds), Duty::Begin::OnStart);
    duty.wake();
    duty.stop();
    CHECK(rounds == 0);
    duty.start();
    duty.start();
    wait_for_rounds(rounds, 1);
    duty.stop();
    const int stopped_at = rounds;
    duty.wake();
    CHECK(rounds == stopped_at);
    duty.start();
    wait_for_rounds(rounds, stopped_at + 1);
}

TEST_CASE("a duty that begins when it is woken has no thread before")
{
    std::atomic<int> rounds{0};
    Duty duty("test", counting(rounds), Duty::Begin::OnWake);
    CHECK(rounds == 0);
    duty.wake();
    wait_for_rounds(rounds, 1);
    duty.wake();
    wait_for_rounds(rounds, 2);
}

} // namespace crosslink
