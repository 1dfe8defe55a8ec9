// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "chunk_decoder.h"

#include <algorithm>
#include <optional>

namespace crosslink
{

namespace
{

/// No chunk of this size or more is real: its size could not be told from one
/// that overflows.
constexpr std::uint64_t size_limit = std::uint64_t{1} << 40U;
constexpr unsigned bits_in_digit = 4;
/// Maximum number of bytes between the data of two chunks, and after the last:
/// sizes, extensions and trailer fields are passed over, and would be read
/// without end.
constexpr std::size_t max_line = 16'384;

std::optional<unsigned>
hex_value(char byte)
{
    if (byte >= '0' && byte <= '9')
        return static_cast<unsigned>(byte - '0');
    constexpr unsigned ten = 10;
    if (byte >= 'a' && byte <= 'f')
        return ten + static_cast<unsigned>(byte - 'a');
    if (byte >= 'A' && byte <= 'F')
        return ten + static_cast<unsigned>(byte - 'A');
    return std::nullopt;
}

} // namespace

std::size_t
ChunkDecoder::wanted() const
{
    if (is_done() || is_malformed())
        return 0;
    return m_state == State::Data ? static_cast<std::size_t>(m_left) : 1;
}

void
ChunkDecoder::take(std::string_view bytes, std::string& data)
{
    while (!bytes.empty() && wanted() > 0) {
        if (m_state != State::Data) {
            take_byte(bytes.front());
            bytes.remove_prefix(1);
            if (++m_line > max_line && !is_done())
                m_state = State::Malformed;
            continue;
        }
        m_line = 0;
        const std::size_t count = std::min(bytes.size(), wanted());
        data.append(bytes.substr(0, count));
        bytes.remove_prefix(count);
        m_left -= count;
        if (m_left == 0)
            m_state = State::DataCr;
    }
}

void
ChunkDecoder::take_byte(char byte)
{
    const auto expect = [byte](char expected, State next) {
        return byte == expected ? next : State::Malformed;
    };
    switch (m_state) {
    case State::FirstDigit:
        m_left = 0;
        m_state = after_digit(byte);
        break;
    case State::Size:
        m_state = after_size_byte(byte);
        break;
    case State::SizeSpace:
        m_state = after_space(byte);
        break;
    case State::Extension:
        if (byte == '\r')
            m_state = State::SizeEnd;
        else if (byte == '\n')
            m_state = State::Malformed;
        break;
    case State::SizeEnd:
        m_state = expect('\n', m_left > 0 ? State::Data : State::LineBegin);
        break;
    case State::DataCr:
        m_state = expect('\r', State::DataLf);
        break;
    case State::DataLf:
        m_state = expect('\n', State::FirstDigit);
        break;
    case State::LineBegin:
        m_state = byte == '\r' ? State::BodyEnd : State::Line;
        if (byte == '\n')
            m_state = State::Malformed;
        break;
    case State::Line:
        if (byte == '\r')
            m_state = State::LineEnd;
        else if (byte == '\n')
            m_state = State::Malformed;
        break;
    case State::LineEnd:
        m_state = expect('\n', State::LineBegin);
        break;
    case State::BodyEnd:
        m_state = expect('\n', State::Done);
        break;
    case State::Data:
    case State::Done:
    case State::Malformed:
        break;
    }
}

/// Takes a byte after the first digit of a chunk's size.
ChunkDecoder::State
ChunkDecoder::after_size_byte(char byte)
{
    if (byte == '\r')
        return State::SizeEnd;
    if (byte == ';')
        return State::Extension;
    if (byte == ' ' || byte == '\t')
        return State::SizeSpace;
    return after_digit(byte);
}

/// Takes a byte after the space behind a chunk's size: only an extension may
/// follow. Another reader could take digits for a part of the size.
ChunkDecoder::State
ChunkDecoder::after_space(char byte)
{
    if (byte == '\r')
        return State::SizeEnd;
    if (byte == ';')
        return State::Extension;
    return byte == ' ' || byte == '\t' ? State::SizeSpace : State::Malformed;
}

ChunkDecoder::State
ChunkDecoder::after_digit(char byte)
{
    const auto digit = hex_value(byte);
    if (!digit)
        return State::Malformed;
    m_left = (m_left << bits_in_digit) | *digit;
    return m_left < size_limit ? State::Size : State::Malformed;
}

} // namespace crosslink
