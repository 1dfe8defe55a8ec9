// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/digest.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// Bytes of prompt text that make one block of kept KV.
inline constexpr std::size_t block_text_bytes = 1024;
/// Bytes of text that are counted as one token where an engine has not told.
inline constexpr std::size_t bytes_per_token = 4;
/// Tokens of one block.
inline constexpr std::uint32_t block_tokens =
    block_text_bytes / bytes_per_token;

/// Whose work a block is, and what made it.
struct BlockOwner {
    std::string_view account;
    std::string_view model;
    std::string_view version; ///< Weight version.
    std::string_view adapter; ///< Empty for none.
};

/// Returns the keys of the whole blocks of `prompt`, first block first. Each
/// key is an HMAC over everything that made the block: the owner and the whole
/// prefix up to its end. The HMAC's secret is derived from `fleet_secret` for
/// the account alone, so that no account can work out or probe for the keys of
/// another.
std::vector<Digest> block_keys(std::string_view fleet_secret,
                               const BlockOwner& owner,
                               std::string_view prompt);

/// Returns the tokens that `text` counts for.
std::uint64_t token_estimate(std::string_view text);

} // namespace crosslink
