// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "head_decoder.h"

#include <string_view>

namespace crosslink
{

void
HeadDecoder::take(char byte)
{
    if (is_ended())
        return;
    m_bytes.push_back(byte);
    if (byte != '\n')
        return;
    const std::string_view line = std::string_view(m_bytes).substr(m_line);
    m_done = line == "\r\n" || line == "\n";
    m_line = m_bytes.size();
}

} // namespace crosslink
