// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace crosslink
{

/// A SHA-256 or HMAC-SHA-256 value (FIPS 180-4, RFC 2104).
struct Digest {
    std::array<std::uint8_t, 32> bytes{};

    auto operator<=>(const Digest&) const = default;
    /// Returns 64 lower-case hexadecimal digits.
    std::string hex() const;
    /// Parses 64 hexadecimal digits. Throws Error(BadRequest) for any other
    /// text.
    static Digest from_hex(std::string_view text);
    /// Returns the first eight bytes as a number, for hashing and sharding.
    std::uint64_t prefix() const;
};

/// Returns SHA-256 of `data`.
Digest sha256(std::string_view data);
/// Returns HMAC-SHA-256 of `data` under `secret`.
Digest hmac_sha256(std::string_view secret, std::string_view data);
/// Returns the bytes of `digest` as a view, for use as an HMAC secret.
std::string_view as_view(const Digest& digest);

} // namespace crosslink

template<> struct std::hash<crosslink::Digest> {
    std::size_t operator()(const crosslink::Digest& digest) const noexcept
    {
        return digest.prefix();
    }
};
