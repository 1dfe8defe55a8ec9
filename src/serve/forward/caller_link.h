// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/ports/plain_service.h>

#include <span>
#include <string_view>

namespace crosslink
{

/// Sends the answer to the caller of a forwarded call.
class CallerLink
{
public:
    virtual ~CallerLink() = default;

    /// Sends a complete answer.
    virtual void answer(int status, std::span<const HeaderField> headers,
                        std::string_view body) = 0;
    /// Sends the head of an answer whose body follows with send().
    virtual void begin(int status, std::span<const HeaderField> headers) = 0;
    /// Sends a piece of the body. Returns false if the caller disconnected.
    virtual bool send(std::string_view piece) = 0;
    /// Ends the body as complete.
    virtual void finish() = 0;
    /// Aborts the answer so that the caller can't take it for complete.
    virtual void abort() = 0;
    /// True once answer() or begin() was called.
    virtual bool begun() const = 0;
    /// Returns the descriptor of the caller's socket, to detect a disconnect.
    virtual int socket() const = 0;
};

} // namespace crosslink
