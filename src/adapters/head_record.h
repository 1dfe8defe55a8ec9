// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Poco::Net
{
class MessageHeader;
}

namespace crosslink
{

class HeadFields;

/// Keeps the bytes of a head as a POCO session reads them: POCO decodes encoded
/// words (RFC 2047) in values, and passes over fields that are malformed.
class HeadRecord
{
public:
    /// To be called with what each read of the socket brought. `room` is what
    /// it could have brought: a session's own buffer is never larger than
    /// POCO's BUFFER_SIZE, so that a larger read leaves none behind.
    void received(std::string_view bytes, std::size_t room);
    /// Begins to keep a head, of which `buffered` bytes are in the session's
    /// buffer already.
    void begin(std::size_t buffered);
    /// Returns what the session took since begin(), where `buffered` bytes are
    /// left in its buffer.
    std::string end(std::size_t buffered);

    /// Sets the fields of `message`, which POCO read, to those of the same
    /// head. Returns false where POCO read other fields, or another value of
    /// one on which the message's end or its connection depends.
    static bool restore(const HeadFields& fields,
                        Poco::Net::MessageHeader& message);

private:
    std::string m_bytes; ///< Ends with those in the session's buffer.
    bool m_keeps = false;
};

} // namespace crosslink
