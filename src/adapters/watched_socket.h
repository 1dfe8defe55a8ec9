// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <Poco/Net/StreamSocketImpl.h>

#include <optional>

namespace crosslink
{

/// A socket to a runner that waits for bytes, and for room to send them, only
/// while the caller of the call is there and its deadline has not passed.
class WatchedSocket : public Poco::Net::StreamSocketImpl
{
public:
    /// What a wait ended with.
    enum class Wait {
        Ready,      ///< The other side can be read from or written to.
        CallerGone, ///< The caller closed its connection.
        TimedOut,   ///< Nothing of this happened in time.
        RivalReady, ///< The rival socket can be read from.
    };

    /// Begins a call: from here on, no wait lasts beyond `deadline` or the end
    /// of `caller_socket`; -1 for none.
    void watch(int caller_socket, TimePoint deadline);
    /// From here on, waits end also once `socket` can be read from; -1 for
    /// none.
    void set_rival(int socket) { m_rival = socket; }
    /// To be called when a head, or a piece of a body, has been taken from the
    /// bytes received.
    void progressed() { m_unused_bytes = 0; }
    /// Waits until `end` for bytes of the other side.
    Wait wait(TimePoint end);

    /// Largest number of bytes from which neither a head nor a piece of a body
    /// can be taken: header fields, interim responses, chunk sizes or trailers
    /// without end. Larger than the heads that runners send.
    static constexpr std::size_t max_unused_bytes = 256U << 10U;

    /// Both throw Poco::TimeoutException where the caller has gone, the rival
    /// socket can be read from or the deadline has passed, and where the other
    /// side is silent. The first
    /// throws Poco::Net::MessageException beyond max_unused_bytes.
    int receiveBytes(void* buffer, int length, int flags) override;
    int sendBytes(const void* buffer, int length, int flags) override;

    /// Returns what ended a read or write of this call before its time:
    /// CallerGone, RivalReady, or TimedOut for the deadline; nothing where none
    /// of them did.
    std::optional<Wait> interrupted() const { return m_interrupted; }

private:
    Wait wait_for(short events, TimePoint end);
    void await(short events);
    bool caller_closed();

    int m_caller = -1; ///< Watched; -1 for none.
    int m_rival = -1;  ///< See set_rival().
    TimePoint m_deadline = TimePoint::max();
    std::optional<Wait> m_interrupted;
    std::size_t m_unused_bytes = 0; ///< Received since progressed().
};

} // namespace crosslink
