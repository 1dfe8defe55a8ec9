// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace crosslink
{

/// Holds what has come of an answer, or of one line of it, up to a limit: what
/// another process sends may have no end.
class AnswerBuffer
{
public:
    explicit AnswerBuffer(std::size_t max_bytes) : m_max_bytes(max_bytes) {}

    /// Appends `bytes`. Throws Error with AnswerTooLarge where the limit is
    /// exceeded.
    void add(std::string_view bytes);
    /// Removes and returns the first line, without its end; false if there is
    /// no whole line.
    bool take_line(std::string& line);
    /// Removes and returns all.
    std::string take_all();

private:
    const std::size_t m_max_bytes;
    std::string m_bytes;
    std::size_t m_taken = 0; ///< Bytes at the front that were taken.
};

} // namespace crosslink
