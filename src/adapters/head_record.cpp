// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "head_record.h"

#include "head_fields.h"

#include <Poco/Net/HTTPBasicStreamBuf.h>
#include <Poco/Net/MessageHeader.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>

namespace crosslink
{

namespace
{

using Field = Poco::Net::NameValueCollection::HeaderMap::ValueType;

constexpr std::array framing_headers{"Content-Length", "Transfer-Encoding",
                                     "Host", "Connection", "Expect"};

bool
is_framing(const std::string& name)
{
    return std::any_of(
        framing_headers.begin(), framing_headers.end(),
        [&name](const char* one) { return Poco::icompare(name, one) == 0; });
}

bool
is_read_alike(const Field& read, const Field& raw)
{
    return read.first == raw.first &&
           (read.second == raw.second || !is_framing(raw.first));
}

} // namespace

void
HeadRecord::received(std::string_view bytes, std::size_t room)
{
    if (m_keeps)
        m_bytes.append(bytes);
    else if (room <= Poco::Net::HTTPBufferAllocator::BUFFER_SIZE)
        m_bytes.assign(bytes);
    else
        m_bytes.clear();
}

void
HeadRecord::begin(std::size_t buffered)
{
    m_bytes.erase(0, m_bytes.size() - std::min(buffered, m_bytes.size()));
    m_keeps = true;
}

std::string
HeadRecord::end(std::size_t buffered)
{
    const std::size_t taken =
        m_bytes.size() - std::min(buffered, m_bytes.size());
    std::string head = m_bytes.substr(0, taken);
    m_bytes = m_bytes.substr(taken);
    m_keeps = false;
    return head;
}

bool
HeadRecord::restore(const HeadFields& fields, Poco::Net::MessageHeader& message)
{
    const Poco::Net::NameValueCollection read(message);
    message.clear();
    for (const HeaderField& field : fields.fields())
        message.add(field.name, field.value);
    return std::equal(read.begin(), read.end(), message.begin(), message.end(),
                      is_read_alike);
}

} // namespace crosslink
