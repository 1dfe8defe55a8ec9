// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstdint>
#include <optional>

namespace Poco::Net
{
class HTTPMessage;
}

namespace crosslink
{

/// What the head of an HTTP message tells of the end of its body (RFC 9112, 6).
struct MessageFraming {
    bool chunked = false;
    std::optional<std::uint64_t> length; ///< In bytes.

    /// Returns the framing of `message`. Nothing where it can be read in two
    /// ways, by which one message could hide another: several fields of it, a
    /// length that is no number, a coding other than chunked, or one in a
    /// version that has none.
    static std::optional<MessageFraming>
    of(const Poco::Net::HTTPMessage& message);
};

} // namespace crosslink
