// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace crosslink
{

/// Returns `text` compressed (zlib, RFC 1950) and in base64, as it fits into
/// JSON.
std::string pack_text(std::string_view text);

/// Returns the text that was packed into `packed`. Throws Error(BadJson) if it
/// is malformed, or if the text is longer than `most_bytes`.
std::string unpack_text(std::string_view packed, std::size_t most_bytes);

} // namespace crosslink
