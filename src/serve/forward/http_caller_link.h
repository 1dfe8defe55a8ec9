// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "caller_link.h"

#include <ostream>

namespace Poco::Net
{
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace crosslink
{

class ServerRequest;

/// Sends the answer over the HTTP connection of a caller.
class HttpCallerLink : public CallerLink
{
public:
    /// `request` and `answer` must outlive this object.
    HttpCallerLink(Poco::Net::HTTPServerRequest& request,
                   Poco::Net::HTTPServerResponse& answer);
    /// Aborts an answer that has begun and did not finish().
    ~HttpCallerLink() override;
    HttpCallerLink(const HttpCallerLink&) = delete;
    HttpCallerLink& operator=(const HttpCallerLink&) = delete;

    void answer(int status, std::span<const HeaderField> headers,
                std::string_view body) override;
    void begin(int status, std::span<const HeaderField> headers) override;
    bool send(std::string_view piece) override;
    void finish() override;
    void abort() override;
    bool begun() const override { return m_begun; }
    int socket() const override;

private:
    void set_head(int status, std::span<const HeaderField> headers);
    void end_connection();

    ServerRequest& m_request;
    Poco::Net::HTTPServerResponse& m_answer;
    /// Of the answer's body, until finish() or abort().
    std::ostream* m_out = nullptr;
    bool m_begun = false;
};

} // namespace crosslink
