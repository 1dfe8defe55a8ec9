// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/error.h>
#include <crosslink/relay/relay.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace crosslink
{

namespace
{

EngineFrame
frame(const std::string& run_id, std::uint32_t index, std::uint32_t count)
{
    EngineFrame result;
    result.run_id = run_id;
    result.index = index;
    result.text = "<" + std::to_string(index) + ">";
    result.version = "v1";
    result.last = index + 1 == count;
    return result;
}

std::string
whole_text(std::uint32_t count)
{
    std::string text;
    for (std::uint32_t i = 0; i < count; ++i)
        text += "<" + std::to_string(i) + ">";
    return text;
}

} // namespace

TEST_CASE("frames of an older attempt are dropped")
{
    Relay relay("v1");
    relay.begin_attempt("r-1");
    CHECK(relay.take(frame("r-1", 0, 3)) == RelayAction::Forward);
    relay.begin_attempt("r-2");
    CHECK(relay.take(frame("r-1", 1, 3)) == RelayAction::Drop);
    CHECK(relay.take(frame("r-2", 1, 3)) == RelayAction::Forward);
    CHECK(relay.text() == "<0><1>");
}

TEST_CASE("a continued answer counts the prompt once")
{
    Relay relay("v1");
    relay.begin_attempt("r-1");
    relay.take(frame("r-1", 0, 3));
    relay.take(frame("r-1", 1, 3));
    relay.begin_attempt("r-2");
    EngineFrame last = frame("r-2", 2, 3);
    last.prompt_tokens = 102;
    last.cached_tokens = 102;
    CHECK(relay.take(last) == RelayAction::Finish);
    CHECK(relay.prompt_tokens() == 100);
    CHECK(relay.cached_tokens() == 100);
}

TEST_CASE("a frame of another weight version is not relayed")
{
    Relay relay("v2");
    relay.begin_attempt("r");
    CHECK(relay.take(frame("r", 0, 2)) == RelayAction::WrongWeights);
    CHECK(relay.text().empty());
}

TEST_CASE("a missing frame is a gap and is not skipped")
{
    Relay relay("v1");
    relay.begin_attempt("r");
    CHECK(relay.take(frame("r", 1, 3)) == RelayAction::Gap);
    CHECK(relay.next_index() == 0);
}

TEST_CASE("no frame is relayed after a complete answer")
{
    Relay relay("v1");
    relay.begin_attempt("r");
    CHECK(relay.take(frame("r", 0, 1)) == RelayAction::Finish);
    CHECK(relay.take(frame("r", 0, 1)) == RelayAction::Drop);
    CHECK_THROWS_AS(relay.begin_attempt("r-2"), Error);
}

TEST_CASE("late, duplicated and reordered frames never change the answer")
{
    CHECK(rc::check("the text is a prefix, and whole where finished", [] {
        const auto count = *rc::gen::inRange<std::uint32_t>(1, 12);
        Relay relay("v1");
        int attempt = 1;
        relay.begin_attempt("r-1");
        const int steps = *rc::gen::inRange(0, 80);
        for (int i = 0; i < steps && !relay.finished(); ++i) {
            if (*rc::gen::inRange(0, 10) == 0)
                relay.begin_attempt("r-" + std::to_string(++attempt));
            const auto from = *rc::gen::inRange(1, attempt + 1);
            const auto index = *rc::gen::inRange<std::uint32_t>(0, count);
            relay.take(frame("r-" + std::to_string(from), index, count));
        }
        RC_ASSERT(whole_text(count).starts_with(relay.text()));
        RC_ASSERT(!relay.finished() || relay.text() == whole_text(count));
    }));
}

} // namespace crosslink
