// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/digest.h>
#include <crosslink/base/error.h>

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cstring>

namespace crosslink
{

namespace
{

constexpr std::string_view hex_digits = "0123456789abcdef";

std::uint8_t
hex_value(char digit)
{
    const auto at = hex_digits.find(digit);
    if (at == std::string_view::npos)
        throw Error(ErrorCode::BadRequest, "not a hexadecimal digit");
    return static_cast<std::uint8_t>(at);
}

} // namespace

std::string
Digest::hex() const
{
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const std::uint8_t byte : bytes) {
        text.push_back(hex_digits[byte >> 4U]);
        text.push_back(hex_digits[byte & 0xfU]);
    }
    return text;
}

Digest
Digest::from_hex(std::string_view text)
{
    Digest digest;
    if (text.size() != digest.bytes.size() * 2)
        throw Error(ErrorCode::BadRequest, "a digest has 64 digits");
    for (std::size_t i = 0; i < digest.bytes.size(); ++i) {
        const auto high = hex_value(text[i * 2]);
        const auto low = hex_value(text[i * 2 + 1]);
        digest.bytes[i] = static_cast<std::uint8_t>(high << 4U | low);
    }
    return digest;
}

std::uint64_t
Digest::prefix() const
{
    std::uint64_t value = 0;
    std::memcpy(&value, bytes.data(), sizeof value);
    return value;
}

Digest
sha256(std::string_view data)
{
    Digest digest;
    unsigned length = 0;
    EVP_Digest(data.data(), data.size(), digest.bytes.data(), &length,
               EVP_sha256(), nullptr);
    return digest;
}

Digest
hmac_sha256(std::string_view secret, std::string_view data)
{
    Digest digest;
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         digest.bytes.data(), &length);
    return digest;
}

std::string_view
as_view(const Digest& digest)
{
    return {reinterpret_cast<const char*>(digest.bytes.data()),
            digest.bytes.size()};
}

} // namespace crosslink
