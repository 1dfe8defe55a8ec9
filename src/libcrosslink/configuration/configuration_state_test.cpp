// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/error.h>
#include <crosslink/configuration/configuration_state.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace crosslink
{

namespace
{

ConfigurationState::ConfigurationPtr
revision(std::uint64_t number)
{
    ConfigurationHead head;
    head.revision = number;
    return std::make_shared<const Configuration>(head, PartTexts{});
}

} // namespace

TEST_CASE("the revision in force never decreases")
{
    CHECK(rc::check("it is the highest one offered so far", [] {
        ConfigurationState state;
        std::uint64_t highest = 0;
        const auto offers = *rc::gen::container<std::vector<std::uint64_t>>(
            rc::gen::inRange<std::uint64_t>(1, 20));
        for (const std::uint64_t offer : offers) {
            const bool taken = state.set_if_newer(revision(offer));
            RC_ASSERT(taken == (offer > highest));
            highest = std::max(highest, offer);
            RC_ASSERT(state.revision() == highest);
        }
    }));
}

TEST_CASE("a part that does not match its digest is rejected")
{
    ConfigurationHead head;
    head.revision = 1;
    head.parts["p"] = sha256("{}");
    PartTexts texts;
    texts[head.parts["p"]] =
        std::make_shared<const std::string>(R"({"accounts": []})");
    CHECK_THROWS_AS(Configuration(head, texts), Error);
}

TEST_CASE("a start without the platform requires answers from the whole zone")
{
    StartupReplies replies;
    CHECK_FALSE(may_start_serving(replies, 3));
    replies.zone_members = 2;
    replies.zone_answered = 1;
    CHECK_FALSE(may_start_serving(replies, 3));
    replies.zone_answered = 2;
    CHECK(may_start_serving(replies, 3));
    CHECK_FALSE(may_start_serving(replies, 0));
    replies = {};
    replies.platform_answered = true;
    CHECK(may_start_serving(replies, 3));
}

} // namespace crosslink
