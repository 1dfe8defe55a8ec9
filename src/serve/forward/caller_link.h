// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/ports/plain_service.h>

#include <span>
#include <string_view>

namespace crosslink
{

/// The way back to the caller of a forwarded call.
class CallerLink
{
public:
    virtual ~CallerLink() = default;

    /// Sends a whole answer.
    virtual void answer(int status, std::span<const HeaderField> headers,
                        std::string_view body) = 0;
    /// Begins an answer whose body follows piece by piece.
    virtual void begin(int status, std::span<const HeaderField> headers) = 0;
    /// Sends a piece of it. Returns false where the caller went away.
    virtual bool send(std::string_view piece) = 0;
    /// Ends it as complete.
    virtual void finish() = 0;
    /// Ends it so that it can't be taken for complete.
    virtual void break_off() = 0;
    /// True once answer() or begin() was called.
    virtual bool begun() const = 0;
    /// Returns the descriptor of the caller's socket, to notice that it went
    /// away.
    virtual int socket() const = 0;
};

} // namespace crosslink
