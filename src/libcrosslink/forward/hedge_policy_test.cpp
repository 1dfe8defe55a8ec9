// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/hedge_policy.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

Micros
ms(std::int64_t millis)
{
    return std::chrono::milliseconds(millis);
}

/// A call that may be hedged.
HedgeCall
late_call()
{
    HedgeCall call;
    call.kind = HedgeKind::Stream;
    call.most_attempts = 2;
    call.usual = ms(100);
    return call;
}

HedgeRunner
idle_runner()
{
    HedgeRunner runner;
    runner.slots = 1;
    return runner;
}

const HedgePolicy policy{HedgeRules{}};

} // namespace

TEST_CASE("a late call is hedged at an idle runner")
{
    CHECK_FALSE(policy.denial(late_call()));
    CHECK_FALSE(HedgePolicy::denial(late_call(), idle_runner(), ms(100)));
}

TEST_CASE("a call that may run only once is never hedged")
{
    HedgeCall call = late_call();
    call.kind.reset();
    CHECK(policy.denial(call) == HedgeDenial::Kind);
}

TEST_CASE("each kind of calls is allowed separately")
{
    const HedgePolicy plain{HedgeRules{{HedgeKind::PlainCall}}};
    HedgeCall call = late_call();
    CHECK(plain.denial(call) == HedgeDenial::Kind);
    call.kind = HedgeKind::PlainCall;
    CHECK_FALSE(plain.denial(call));
}

TEST_CASE("a stream that resumes is never hedged")
{
    HedgeCall call = late_call();
    call.resumes = true;
    CHECK(policy.denial(call) == HedgeDenial::Resumes);
}

TEST_CASE("a request that may have ended runners is never hedged")
{
    HedgeCall call = late_call();
    call.suspected = true;
    CHECK(policy.denial(call) == HedgeDenial::Suspected);
}

TEST_CASE("a relayed call, or one on a borrowed share, is never hedged")
{
    HedgeCall call = late_call();
    call.indirect = true;
    CHECK(policy.denial(call) == HedgeDenial::Indirect);
    HedgeRunner runner = idle_runner();
    runner.relayed = true;
    CHECK(HedgePolicy::denial(late_call(), runner, ms(100)) ==
          HedgeDenial::Indirect);
}

TEST_CASE("a call gets one copy, and no more runners than allowed")
{
    HedgeCall call = late_call();
    call.copied = true;
    CHECK(policy.denial(call) == HedgeDenial::Attempts);
    call = late_call();
    call.sends = 2;
    CHECK(policy.denial(call) == HedgeDenial::Attempts);
    call = late_call();
    call.most_attempts = 1;
    CHECK(policy.denial(call) == HedgeDenial::Attempts);
}

TEST_CASE("runners with limits or backoffs take no part in hedges")
{
    HedgeCall call = late_call();
    call.runner_limited = true;
    CHECK(policy.denial(call) == HedgeDenial::RunnerHoldsBack);
    call = late_call();
    call.runner_backs_off = true;
    CHECK(policy.denial(call) == HedgeDenial::RunnerHoldsBack);
    HedgeRunner runner = idle_runner();
    runner.holds_back = true;
    CHECK(HedgePolicy::denial(late_call(), runner, ms(100)) ==
          HedgeDenial::RunnerHoldsBack);
}

TEST_CASE("nothing is hedged while the usual time is not known")
{
    HedgeCall call = late_call();
    call.usual.reset();
    CHECK(policy.denial(call) == HedgeDenial::FewObservations);
}

TEST_CASE("a call is not late while its queue and prompt explain the time")
{
    HedgeCall call = late_call();
    CHECK(HedgePolicy::delay(call) == ms(200));
    call.expected = ms(400);
    CHECK(HedgePolicy::delay(call) == ms(400));
}

TEST_CASE("no copy goes to a runner without a free slot")
{
    HedgeRunner runner = idle_runner();
    runner.calls = 1;
    CHECK(HedgePolicy::denial(late_call(), runner, ms(100)) ==
          HedgeDenial::ShortOfCapacity);
}

TEST_CASE("no copy goes to a runner that may take as long")
{
    HedgeRunner runner = idle_runner();
    runner.expected = ms(51);
    CHECK(HedgePolicy::denial(late_call(), runner, ms(100)) ==
          HedgeDenial::WaitNotShorter);
    CHECK_FALSE(HedgePolicy::denial(late_call(), runner, ms(102)));
}

} // namespace crosslink
