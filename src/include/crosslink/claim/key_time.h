// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <optional>
#include <string_view>

namespace crosslink
{

/// Returns the creation time in an idempotency key: the first 48 bits of a
/// version 7 UUID (RFC 9562). Nothing where the key is of another kind.
std::optional<UnixMillis> key_time_of(std::string_view key);

} // namespace crosslink
