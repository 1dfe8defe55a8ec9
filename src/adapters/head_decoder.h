// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstddef>
#include <string>

namespace crosslink
{

/// Takes the bytes of the head of an HTTP message (RFC 9112, 2.1) one by one.
/// Its state tells where the head ends, in whatever pieces the bytes come in.
class HeadDecoder
{
public:
    /// Maximum number of bytes of a head.
    static constexpr std::size_t max_bytes = 256U << 10U;

    void take(char byte);
    /// Returns whether no more bytes are to be taken.
    bool is_ended() const { return m_done || is_too_long(); }
    /// Returns whether the empty line at the end was taken.
    bool is_done() const { return m_done; }
    bool is_too_long() const { return !m_done && m_bytes.size() >= max_bytes; }
    /// Returns all bytes that were taken.
    const std::string& bytes() const { return m_bytes; }

private:
    std::string m_bytes;
    std::size_t m_line = 0; ///< Where the current line begins.
    bool m_done = false;
};

} // namespace crosslink
