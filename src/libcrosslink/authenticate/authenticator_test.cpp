// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/authenticate/authenticator.h>
#include <crosslink/base/error.h>

#include <catch2/catch.hpp>

namespace crosslink
{

namespace
{

ErrorCode
failure_of(std::string_view authorization)
{
    const Configuration configuration({}, {});
    try {
        authenticate(configuration, authorization);
    } catch (const Error& failure) {
        return failure.code();
    }
    return ErrorCode::Internal;
}

} // namespace

TEST_CASE("a caller without a known key is rejected")
{
    CHECK(failure_of("") == ErrorCode::MissingKey);
    CHECK(failure_of("Bearer ") == ErrorCode::MissingKey);
    CHECK(failure_of("Basic abc") == ErrorCode::MissingKey);
    CHECK(failure_of("Bearer abc") == ErrorCode::UnknownKey);
}

} // namespace crosslink
