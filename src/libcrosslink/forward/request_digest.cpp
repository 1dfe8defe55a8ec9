// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/digest.h>
#include <crosslink/forward/forwarded_call.h>
#include <crosslink/forward/request_digest.h>

#include <array>

namespace crosslink
{

std::string
digest_of_parts(std::span<const std::string_view> parts)
{
    std::string text;
    // The lengths keep two different lists from having the same text.
    for (const std::string_view part : parts) {
        text += std::to_string(part.size());
        text += ':';
        text += part;
    }
    return sha256(text).hex().substr(0, request_digest_digits);
}

std::string
request_digest(const ForwardedCall& call, std::string_view account)
{
    const std::array<std::string_view, 5> parts{
        call.method, call.host, call.target, account, call.body};
    return digest_of_parts(parts);
}

} // namespace crosslink
