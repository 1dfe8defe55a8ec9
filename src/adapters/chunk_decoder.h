// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace crosslink
{

/// Takes the data out of a chunked body (RFC 9112, 7.1). Its state tells where
/// the body ends: data may hold the bytes that end one.
class ChunkDecoder
{
public:
    /// Returns how many bytes may be taken at most without those that follow
    /// the body; 0 once is_done() or is_malformed().
    std::size_t wanted() const;
    /// Takes `bytes`, wanted() at most, and appends the data among them to
    /// `data`.
    void take(std::string_view bytes, std::string& data);
    /// Returns whether the body has come to its end.
    bool is_done() const { return m_state == State::Done; }
    /// Returns whether the bytes are no chunked body.
    bool is_malformed() const { return m_state == State::Malformed; }

private:
    enum class State {
        FirstDigit,
        Size,
        SizeSpace, ///< A space or tab after the size.
        Extension,
        SizeEnd, ///< CR was taken.
        Data,
        DataCr,
        DataLf,
        LineBegin, ///< Of the trailer section.
        Line,
        LineEnd, ///< CR was taken.
        BodyEnd, ///< CR of the empty line was taken.
        Done,
        Malformed,
    };

    void take_byte(char byte);
    State after_size_byte(char byte);
    static State after_space(char byte);
    State after_digit(char byte);

    State m_state = State::FirstDigit;
    std::uint64_t m_left = 0; ///< Of the current chunk.
    std::size_t m_line = 0;   ///< Bytes since the data of the last chunk.
};

} // namespace crosslink
