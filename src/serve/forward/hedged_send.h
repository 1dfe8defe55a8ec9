// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "call_prompt.h"
#include "send_state.h"

#include <adapters/call_connection.h>

#include <crosslink/base/time.h>
#include <crosslink/forward/forwarded_call.h>
#include <crosslink/forward/hedge_policy.h>
#include <crosslink/forward/runner_query.h>
#include <crosslink/ports/call_wire.h>

#include <optional>
#include <string>

namespace crosslink
{

struct ForwardState;

/// The second copy of a call, at most one: when it is due, and its send beside
/// the first one. While it is in flight, the thread of the call waits for the
/// answers to both.
class HedgedSend
{
public:
    /// The send that is not the call's current one.
    struct Other {
        RunnerPick pick;
        CallPrompt prompt;
        SendState send;
    };

    /// All references must outlive this object. `objective` is that of the
    /// call's route.
    HedgedSend(ForwardState& state, KeptLocator& kept,
               const ForwardedCall& call, Micros objective);

    /// Begins to watch a send of `call` that was made at `sent_at`; the copy
    /// becomes due if the policy allows one.
    void watch(const HedgeCall& call, TimePoint sent_at, int caller_socket);
    /// The send that is watched got an answer, or a copy: none becomes due.
    void stop_watching() { m_due.reset(); }
    std::optional<TimePoint> due() const { return m_due; }
    bool is_due(TimePoint now) const { return m_due && now >= *m_due; }
    /// Returns whether a copy was tried.
    bool copied() const { return m_copied; }

    /// Opens a connection for a copy to `pick` beside the send to `first`.
    /// Returns false if there is none: the copy is over.
    bool connect(const RunnerPick& pick, const RunnerPick& first,
                 Micros time_left);
    /// Returns whether a copy is in flight.
    bool is_open() const { return m_other.send.link.connection != nullptr; }
    /// Waits as CallConnection::wait() on `first`, and on the copy if there is
    /// one: RivalReady if the copy's head has arrived before that of `first`.
    CallConnection::Wait wait(CallConnection& first, Micros longest);
    Other& other() { return m_other; }
    int caller_socket() const { return m_caller_socket; }

    /// Keeps a head of the copy until take_head().
    void keep_head(RawHead head) { m_head = std::move(head); }
    bool has_head() const { return m_head.has_value(); }
    RawHead take_head();

    /// Logs that the copy is over.
    void log(const char* result) const;

private:
    ForwardState& m_state;
    const ForwardedCall& m_call;
    Other m_other;
    TimePoint m_sent_at{}; ///< Of the send that is watched.
    std::optional<TimePoint> m_due;
    int m_caller_socket = -1;
    std::optional<RawHead> m_head;
    bool m_copied = false;
    // Of the copy, for the log:
    std::string m_first;
    std::string m_second;
    Micros m_waited{0}; ///< Before it.
};

} // namespace crosslink
