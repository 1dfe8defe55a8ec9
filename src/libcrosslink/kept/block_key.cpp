// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/block_key.h>

namespace crosslink
{

namespace
{

/// Appends `field` with its length, so that no two field lists give one text.
void
append_field(std::string& text, std::string_view field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

Digest
chain_start(const Digest& secret, const BlockOwner& owner)
{
    std::string text;
    append_field(text, owner.account);
    append_field(text, owner.model);
    append_field(text, owner.version);
    append_field(text, owner.adapter);
    return hmac_sha256(as_view(secret), text);
}

} // namespace

std::vector<Digest>
block_keys(std::string_view fleet_secret, const BlockOwner& owner,
           std::string_view prompt)
{
    const Digest secret = hmac_sha256(fleet_secret, owner.account);
    Digest previous = chain_start(secret, owner);
    std::vector<Digest> keys;
    keys.reserve(prompt.size() / block_text_bytes);
    std::string input;
    while (prompt.size() >= block_text_bytes) {
        input.assign(as_view(previous));
        input += prompt.substr(0, block_text_bytes);
        previous = hmac_sha256(as_view(secret), input);
        keys.push_back(previous);
        prompt.remove_prefix(block_text_bytes);
    }
    return keys;
}

std::uint64_t
token_estimate(std::string_view text)
{
    return (text.size() + bytes_per_token - 1) / bytes_per_token;
}

} // namespace crosslink
