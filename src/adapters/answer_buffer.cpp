// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "answer_buffer.h"

#include <crosslink/base/error.h>

#include <utility>

namespace crosslink
{

void
AnswerBuffer::add(std::string_view bytes)
{
    m_bytes.erase(0, std::exchange(m_taken, 0));
    if (bytes.size() > m_max_bytes - m_bytes.size())
        throw Error(ErrorCode::AnswerTooLarge,
                    "the answer is larger than " + std::to_string(m_max_bytes) +
                        " bytes",
                    RunState::MayHaveRun);
    m_bytes += bytes;
}

bool
AnswerBuffer::take_line(std::string& line)
{
    const std::size_t end = m_bytes.find('\n', m_taken);
    if (end == std::string::npos)
        return false;
    line = m_bytes.substr(m_taken, end - m_taken);
    m_taken = end + 1;
    return true;
}

std::string
AnswerBuffer::take_all()
{
    m_bytes.erase(0, std::exchange(m_taken, 0));
    return std::exchange(m_bytes, {});
}

} // namespace crosslink
