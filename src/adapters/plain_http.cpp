// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "plain_http.h"

namespace crosslink
{

namespace
{

constexpr int too_many_requests = 429;
constexpr int unavailable = 503;

} // namespace

PlainHttp::PlainHttp(const std::string& address, HttpTimeouts timeouts)
    : m_client(address, timeouts)
{
}

PlainAnswer
PlainHttp::call(const PlainCall& call)
{
    constexpr bool fresh_connection = true;
    HttpRequest request;
    request.method = call.method;
    request.path = call.path;
    request.headers = call.headers;
    request.body = call.body;
    HttpAnswer answer = m_client.exchange(request, fresh_connection);
    const bool refusal =
        answer.status == too_many_requests || answer.status == unavailable;
    return {answer.status, std::move(answer.content_type),
            std::move(answer.body), refusal && answer.has_retry_after};
}

} // namespace crosslink
