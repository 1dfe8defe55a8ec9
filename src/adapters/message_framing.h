// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstdint>
#include <optional>

namespace Poco::Net
{
class MessageHeader;
}

namespace crosslink
{

/// What the head of an HTTP message tells of the end of its body (RFC 9112, 6).
struct MessageFraming {
    bool chunked = false;
    std::optional<std::uint64_t> length; ///< In bytes.

    /// Returns the framing of `message`. Nothing where it can be read in two
    /// ways, by which one message could hide another: several fields of it, a
    /// length that is no number, or a coding other than chunked.
    static std::optional<MessageFraming>
    of(const Poco::Net::MessageHeader& message);
};

} // namespace crosslink
