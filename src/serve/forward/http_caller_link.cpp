// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "http_caller_link.h"

#include <adapters/head_fields.h>
#include <adapters/server_request.h>
#include <serve/log_line.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>

#include <algorithm>

namespace crosslink
{

namespace
{

bool
is_date(const HeaderField& field)
{
    return Poco::icompare(field.name, "Date") == 0;
}

} // namespace

HttpCallerLink::HttpCallerLink(Poco::Net::HTTPServerRequest& request,
                               Poco::Net::HTTPServerResponse& answer)
    : m_request(ServerRequest::from(request)), m_answer(answer)
{
}

HttpCallerLink::~HttpCallerLink()
{
    if (m_out)
        end_connection();
}

int
HttpCallerLink::socket() const
{
    return m_request.descriptor();
}

void
HttpCallerLink::set_head(int status, std::span<const HeaderField> headers)
{
    if (!std::all_of(headers.begin(), headers.end(), HeadFields::is_valid))
        throw Poco::Net::MessageException("the head can't be sent");
    m_answer.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    // The answer has one of its own, for the case that none comes.
    if (std::any_of(headers.begin(), headers.end(), is_date))
        m_answer.erase("Date");
    for (const HeaderField& field : headers)
        m_answer.add(field.name, field.value);
}

void
HttpCallerLink::answer(int status, std::span<const HeaderField> headers,
                       std::string_view body)
{
    m_begun = true;
    try {
        set_head(status, headers);
        // The length that an answer to HEAD tells is not that of its body.
        if (m_request.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD)
            m_answer.send();
        else
            m_answer.sendBuffer(body.data(), body.size());
    } catch (const Poco::Exception& failure) {
        LogLine("caller_gone").field("error", failure.displayText());
        abort();
    }
}

void
HttpCallerLink::begin(int status, std::span<const HeaderField> headers)
{
    m_begun = true;
    try {
        set_head(status, headers);
        m_answer.setChunkedTransferEncoding(true);
        m_out = &m_answer.send();
    } catch (const Poco::Exception& failure) {
        LogLine("caller_gone").field("error", failure.displayText());
    }
}

bool
HttpCallerLink::send(std::string_view piece)
{
    if (!m_out)
        return false;
    m_out->write(piece.data(), static_cast<std::streamsize>(piece.size()));
    m_out->flush();
    return m_out->good();
}

void
HttpCallerLink::finish()
{
    if (m_out)
        m_out->flush();
    m_out = nullptr;
}

void
HttpCallerLink::abort()
{
    end_connection();
}

void
HttpCallerLink::end_connection()
{
    m_out = nullptr;
    m_answer.setKeepAlive(false);
    try {
        m_request.abort();
    } catch (const Poco::Exception& failure) {
        LogLine("caller_gone").field("error", failure.displayText());
    }
}

} // namespace crosslink
