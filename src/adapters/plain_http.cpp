// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "plain_http.h"

#include <crosslink/base/retry_after.h>

namespace crosslink
{

namespace
{

constexpr int too_many_requests = 429;
constexpr int unavailable = 503;
/// An answer is held whole until its caller has it. Services may write theirs
/// as they work.
constexpr AnswerLimit answer_limit{16U << 20U, std::chrono::minutes(5)};

} // namespace

PlainHttp::PlainHttp(const std::string& address, HttpTimeouts timeouts)
    : m_client(address, timeouts, answer_limit)
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
    PlainAnswer result{answer.status, std::move(answer.content_type),
                       std::move(answer.body)};
    result.refused_before_run = refusal && answer.retry_after;
    if (result.refused_before_run)
        result.backoff =
            retry_after_time(*answer.retry_after).value_or(Micros{0});
    return result;
}

} // namespace crosslink
