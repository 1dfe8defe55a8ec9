// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace crosslink
{

struct ForwardedCall;

/// Number of hexadecimal digits of a request's digest. With 96 bits, it is
/// infeasible to find a request with the digest of another one.
constexpr std::size_t request_digest_digits = 24;

/// Returns a digest of `parts`, in their order.
std::string digest_of_parts(std::span<const std::string_view> parts);

/// Returns a digest that is the same for all attempts of a request. It covers
/// the method, host, target and body, and the client account that sends it, so
/// that the requests of one account don't affect those of another. `account` is
/// empty on open routes.
std::string request_digest(const ForwardedCall& call, std::string_view account);

} // namespace crosslink
