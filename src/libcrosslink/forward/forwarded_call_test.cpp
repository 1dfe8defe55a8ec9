// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/forwarded_call.h>

#include <catch2/catch.hpp>

namespace crosslink
{

TEST_CASE("the last part of a prompt is its own, the others are shared")
{
    Generation call;
    CHECK(call.shared_parts().empty());
    call.parts = {{"own", 16}};
    CHECK(call.shared_parts().empty());
    call.parts = {{"first", 160}, {"second", 320}, {"own", 16}};
    REQUIRE(call.shared_parts().size() == 2);
    CHECK(call.shared_parts()[0].id == "first");
    CHECK(call.shared_parts()[1].id == "second");
}

} // namespace crosslink
