// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// Returns the weight of `candidate` for `key` in rendezvous hashing: the
/// candidate with the highest weight is preferred. All instances compute the
/// same weight.
std::uint64_t rendezvous_weight(std::string_view key,
                                std::string_view candidate);

/// Returns the candidates ordered by their weight for `key`, highest first.
std::vector<std::string> rendezvous_order(std::string_view key,
                                          std::span<const std::string> names);

} // namespace crosslink
