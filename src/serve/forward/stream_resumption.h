// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/software_evidence.h>
#include <crosslink/forward/stream_origins.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace crosslink
{

struct AccountSettings;
struct ForwardedCall;
struct ForwardState;
struct ServiceRoute;
struct StreamAnswer;

/// Finds out which software began a stream that a caller takes up, and
/// remembers which one begins a stream of this call. Does nothing for calls
/// whose stream can't be taken up.
class StreamResumption
{
public:
    /// All references must outlive this object. `account` is the account of the
    /// call; null on open routes. `deadline` is the time by which it ends.
    StreamResumption(ForwardState& state, const ForwardedCall& call,
                     const ServiceRoute& route, const AccountSettings* account,
                     TimePoint deadline);

    /// Returns the service and the software that the stream must go on at;
    /// nothing if the choice is free. Asks other instances and the platform
    /// where this one does not know, and waits a moment where it may have
    /// missed changes of the list. Throws Error(StreamNotResumable), and
    /// nothing has run, if the stream can't go on: its software serves no more,
    /// or is not known and it is not shown that only one served.
    std::optional<StreamOrigin> origin();
    /// Returns who knew the software that began the stream, for the log:
    /// "instance" for this one, "home", "record"; "none" where nobody did.
    /// Empty if the call takes no stream up.
    std::string_view known_by() const { return m_known_by; }
    /// Returns the software that began the stream; empty if it is not known.
    const std::string& began_at() const { return m_began_at; }
    /// Records that the call is sent for the `sends`-th time, to a runner of
    /// `service` with `software`.
    void sent(const std::string& service, const std::string& software,
              std::uint32_t sends);
    /// Records that the caller has the first event of the stream of this call,
    /// from a runner of `service` with `software`.
    void began(const std::string& service, const std::string& software);
    /// Records that the caller has the whole stream.
    void ended();

private:
    bool may_be_taken_up() const;
    bool takes_up() const;
    StreamOrigin only_origin();
    bool is_only_one_shown();
    bool is_served(const StreamOrigin& origin);
    bool knows_changes_until(TimePoint at,
                             const std::function<bool()>& is_enough);
    std::optional<StreamOrigin> find();
    void observe_software();
    std::optional<StreamOrigin> find_here(std::string_view source);
    std::optional<StreamOrigin> find_recorded();
    std::optional<StreamOrigin> ask_homes();
    void note_answer(const StreamAnswer& answer);
    void note_began(const StreamOrigin& origin);
    [[noreturn]] void refuse(const char* why) const;

    ForwardState& m_state;
    const ForwardedCall& m_call;
    const ServiceRoute& m_route;
    const std::string m_account;
    const TimePoint m_deadline;
    std::string m_stream; ///< See stream_key(); empty where none is known.
    std::string_view m_known_by; ///< See known_by().
    std::string m_began_at;      ///< See began_at().
    const TimePoint m_asked;     ///< When the call came.
    SoftwareEvidence m_evidence; ///< That only one version served.
    bool m_several = false;      ///< Several versions served lately.
    bool m_unanswered = false;   ///< A home or the platform did not answer.
    bool m_unread = false;       ///< The platform's records were not read.
};

} // namespace crosslink
