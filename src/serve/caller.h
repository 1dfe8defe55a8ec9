// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/ports/plain_service.h>

#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// A caller's request, as it came in.
struct CallerRequest {
    std::string id; ///< Made by crosslink; in logs and in the answer.
    std::string method;
    std::string path; ///< With its query.
    std::string authorization;
    std::string idempotency_key;
    std::string content_type;
    std::string body;
    TimePoint received_at;
};

/// The way back to the caller.
class CallerReply
{
public:
    virtual ~CallerReply() = default;

    /// Sends a whole answer.
    virtual void answer(const PlainAnswer& answer,
                        const std::vector<HeaderField>& headers) = 0;
    /// Begins an answer of server-sent events; send_event() tells whether the
    /// caller is still there.
    virtual void begin_stream() = 0;
    /// Sends one event of it. Returns false where the caller went away.
    virtual bool send_event(std::string_view data) = 0;
    /// True once begin_stream() was called.
    virtual bool streaming() const = 0;
    /// The socket of the caller, for CallerWatch; -1 where there is none.
    virtual int socket() const = 0;
};

} // namespace crosslink
