// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "head_decoder.h"

#include <algorithm>
#include <cstddef>
#include <ios>
#include <string>

namespace crosslink
{

/// A session of POCO, `Session`, whose bytes are read as they came in. POCO's
/// own reading of heads and bodies is not used: it takes some messages that are
/// cut off for whole ones, and a line of 4,092 bytes for the end of a head.
/// Its get() and peek() are not used either: where char is signed, they tell
/// the byte 255 as the connection's end.
template<typename Session> class RawSession : public Session
{
public:
    using Session::Session;

    /// Returns whether bytes are here that were not taken yet.
    bool has_bytes() const { return this->buffered() > 0; }

    /// Returns up to `most` bytes; none where the other side closed the
    /// connection.
    std::string read_raw(std::size_t most)
    {
        // Single bytes come out of POCO's buffer, which this fills.
        if (most == 1 && !has_bytes()) {
            this->refill();
            if (!has_bytes())
                return {};
        }
        std::string bytes(most, '\0');
        const int count =
            this->read(bytes.data(), static_cast<std::streamsize>(most));
        bytes.resize(static_cast<std::size_t>(std::max(count, 0)));
        return bytes;
    }

    /// Reads until `head` is ended, or the other side closed the connection.
    void read_head(HeadDecoder& head)
    {
        while (!head.is_ended()) {
            if (!has_bytes())
                this->refill();
            char byte = 0;
            if (!has_bytes() || this->read(&byte, 1) != 1)
                return;
            head.take(byte);
        }
    }
};

} // namespace crosslink
