// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstdint>
#include <string>

namespace crosslink
{

/// Returns 64 random bits. Safe for many threads.
std::uint64_t random_bits();
/// Returns a random name of 24 hexadecimal digits.
std::string random_name();

} // namespace crosslink
