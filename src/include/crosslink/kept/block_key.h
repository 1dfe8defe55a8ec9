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

/// Size of the prompt text of one block of stored KV, in bytes.
inline constexpr std::size_t block_text_bytes = 1024;
/// Bytes of text that count as one token where the engine has not reported the
/// number of tokens.
inline constexpr std::size_t bytes_per_token = 4;
/// Tokens of one block.
inline constexpr std::uint32_t block_tokens =
    block_text_bytes / bytes_per_token;

/// The account that a block belongs to, and what its KV was computed with.
struct BlockOwner {
    std::string_view account;
    std::string_view model;
    std::string_view version; ///< Weight version.
    std::string_view adapter; ///< Empty for none.
};

/// Returns the keys of the complete blocks of `prompt`, first block first. Each
/// key is an HMAC over everything that determines the KV of the block: the
/// owner and the whole prompt up to the end of the block. The secret of the
/// HMAC is derived from `fleet_secret` for the account alone, so that no
/// account can compute or probe for the keys of another.
std::vector<Digest> block_keys(std::string_view fleet_secret,
                               const BlockOwner& owner,
                               std::string_view prompt);

/// Returns the number of tokens that `text` counts as, rounded up.
std::uint64_t token_estimate(std::string_view text);

} // namespace crosslink
