// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "chunk_decoder.h"
#include "single_fields.h"
#include "watched_socket.h"

#include <crosslink/base/time.h>
#include <crosslink/ports/plain_service.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

struct OutgoingCall;

/// Head of a runner's answer as it came in.
struct RawHead {
    int status = 0;
    std::vector<HeaderField> headers;
};

/// One connection to a runner that carries one call at a time and is read
/// as its answer arrives, while the caller's own connection is watched.
/// Everything here throws Poco::Exception where the connection fails.
class CallConnection
{
public:
    /// Connects to "ip:port". An answer with several fields of one of the
    /// names `single_fields`, which must outlive this object, is malformed.
    CallConnection(const std::string& address, Micros connect_timeout,
                   const SingleFields& single_fields);
    ~CallConnection();
    CallConnection(const CallConnection&) = delete;
    CallConnection& operator=(const CallConnection&) = delete;

    using Wait = WatchedSocket::Wait;
    /// Begins a call: from here on, nothing waits beyond `deadline` or the end
    /// of `caller_socket`; -1 for none.
    void watch(int caller_socket, TimePoint deadline);
    /// Returns which of the two made send(), receive_head() or read_some()
    /// throw; nothing where neither did.
    std::optional<Wait> interrupted() const;

    /// Sends a call with its body. Throws once bytes arrive on `rival`, if it
    /// is not null.
    void send(const OutgoingCall& call, std::string_view body,
              const CallConnection* rival = nullptr);
    /// Waits up to `longest` for bytes of the answer, or for its end; also for
    /// those of `rival` if it is not null.
    Wait wait(Micros longest, const CallConnection* rival = nullptr);
    /// Returns whether receive_head() would not wait for the rest of a head
    /// that has begun to arrive. Never waits.
    bool head_arrived() const;
    /// Reads the head of the answer.
    RawHead receive_head();
    /// Returns some bytes of the body; none at its end.
    std::string read_some();
    /// Returns what the next bytes to come bring of the body, which may be
    /// nothing, as the end of a chunk. Never waits for what follows them: a
    /// runner may pause there for longer than within a piece.
    std::string read_next();
    /// Returns whether nothing more of the body can come: it has ended, or its
    /// connection has.
    bool is_over() const { return ended() || m_over; }
    /// True where no more of the body is to be waited for.
    bool ended() const
    {
        if (m_bodiless)
            return true;
        return m_chunked ? m_chunks.wanted() == 0
                         : m_length >= 0 && m_read >= m_length;
    }
    /// After the end: true where the body came whole. A body that only its
    /// connection ends is not whole if it has no byte: a peer whose process
    /// ended between the head and the first byte looks the same.
    bool whole() const;
    /// Reads the rest of the body, which nobody wants. Returns false if it is
    /// larger than `max_skipped_bytes`.
    bool skip_body();

    /// True where nothing came and the other side has not closed, so that an
    /// idle connection can carry a call.
    bool quiet() const;

private:
    class Session;
    class Answer;

    /// Largest body of an answer to an earlier call that is skipped.
    static constexpr long long max_skipped_bytes = 4LL << 20U;

    std::string read_chunked();
    std::string read_unchunked();

    std::unique_ptr<Session> m_session;
    std::istream* m_body = nullptr; ///< Of the session; null before a head.
    bool m_chunked = false;
    ChunkDecoder m_chunks;   ///< Of the body, where it is chunked.
    long long m_length = -1; ///< Told bytes of the body; -1: not told.
    long long m_read = 0;    ///< Bytes of the body.
    bool m_broken = false;   ///< The connection failed within the body.
    bool m_over = false;     ///< The connection gives no more of the body.
    bool m_bodiless = false; ///< An answer of its kind has no body.
};

} // namespace crosslink
