// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "admission_check.h"
#include "answer_intake.h"
#include "call_prompt.h"
#include "caller_link.h"
#include "crash_watch.h"
#include "forward_state.h"
#include "hedged_send.h"
#include "kept_locator.h"
#include "runner_choice.h"
#include "runner_connector.h"
#include "send_state.h"
#include "stream_resumption.h"

#include <crosslink/base/time.h>
#include <crosslink/forward/event_tracker.h>
#include <crosslink/forward/forwarded_call.h>
#include <crosslink/forward/service_map.h>
#include <crosslink/ports/call_wire.h>

#include <cstdint>
#include <exception>
#include <optional>
#include <string>
#include <string_view>

namespace crosslink
{

class Error;
struct RawHead;

/// Sends one call to a runner, retries it at other runners as far as the route
/// allows, and relays the answer to the caller.
class ForwardRun
{
public:
    /// All references must outlive this object. `account` is the account of the
    /// call; null on open routes.
    ForwardRun(ForwardState& state, KeptLocator& kept,
               const ForwardedCall& call, const ServiceRoute& route,
               const AccountSettings* account);
    ~ForwardRun();

    /// Returns once the answer was sent or the caller disconnected. Throws
    /// Error if the call failed and nothing was sent to the caller.
    void run(CallerLink& link);

    /// To be called with what run() threw: records that the service is short of
    /// capacity if that was the reason.
    void note_failure(const Error& failure);

    /// Returns how many times the call was sent to a runner.
    std::uint32_t sends() const { return m_sends; }
    /// Returns the id of the runner that was chosen last.
    const std::string& runner() const { return m_choice.pick().id; }
    /// Returns the version of the weights that the last send asked for; 0 if
    /// it asked for none.
    std::uint64_t weights() const { return m_choice.pick().version; }
    /// Returns the software version of the runner that was chosen last.
    const std::string& software() const { return m_choice.pick().software; }
    /// Returns what was found out of the stream that the call takes up.
    const StreamResumption& resumption() const { return m_resumption; }
    bool caller_gone() const { return m_caller_gone; }
    /// Returns the time from the call's arrival to its first event; 0 if there
    /// was none.
    Micros first_event() const { return m_first_event; }
    /// Returns how long the last runner was expected to take before it starts
    /// on the call.
    Micros expected_wait() const { return m_choice.pick().wait; }
    /// Returns the name of the instance that the call was sent through last;
    /// empty if it was sent to the runner directly.
    std::string relay() const
    {
        return m_send.link.relay ? m_send.link.relay->name : std::string();
    }
    /// See CallPrompt::summary().
    std::string kept_summary() const { return m_prompt.summary(); }

private:
    /// Result of sending the call to one runner.
    enum class Outcome {
        Done,       ///< The answer was sent to the caller.
        CallerGone, ///< The caller disconnected.
        NotSent,    ///< No byte of the call reached the runner.
        NotRun,     ///< The runner answered that it did not run the call.
        /// As NotRun: the runner has other weights, or is another runner than
        /// the one that the call was meant for.
        Misdirected,
        Broken,   ///< The call may have run; the answer is not complete.
        TimedOut, ///< As Broken, and no time is left.
        /// As Broken: the call was withdrawn before its first event because
        /// the runner's weights were about to be forbidden.
        Outdated,
        /// As Broken: no byte arrived on a reused connection. A retry was
        /// granted.
        Silent,
        /// As Broken: another copy of the call was answered first.
        Superseded,
        /// The runner answered that it ran the call and failed. A retry was
        /// granted.
        Failed,
        /// The instance that was to pass the call on did not send it.
        NotRelayed,
        /// The instance that was to lend a place of its share did not.
        NotLent,
    };

    /// An answer in which a runner reports that the call failed there.
    struct FailedAnswer {
        AnswerHead head;
        std::string body;
    };

    bool find_runner();
    bool wait_for_runner();
    TimePoint latest_useful_time() const;
    Micros retry_time() const;
    Micros retry_time_after_refusals();
    Outcome attempt(CallerLink& link);
    Outcome send_once(CallerLink& link);
    Outcome finish_send(CallerLink& link);
    void note_sent();
    void count_send();
    void note_ended(Outcome outcome);
    void note_unreachable();
    void note_broken(bool silent);
    bool may_send_again(Outcome outcome);
    bool take_retry();
    void record_outcome(Outcome outcome, bool path_failed);
    SendOptions make_options();
    SendOptions options_without_parts() const;
    void begin_checks();
    bool connect();
    OutgoingCall encode_call() const;
    const std::string& link_address() const;
    void note_connection_failure(bool silent);
    Outcome exchange(CallerLink& link);
    Outcome send_and_relay(CallerLink& link);
    std::optional<Outcome> await_answer();
    void watch_send(CallerLink& link);
    HedgeCall hedge_call();
    void hedge();
    std::optional<HedgeDenial> hedge_denial(const HedgeCall& call,
                                            const RunnerPick& pick);
    HedgeRunner hedge_runner(const RunnerPick& pick);
    void send_copy();
    bool copy_wins();
    Outcome receive_copy_head();
    Outcome continue_with_copy(CallerLink& link, Outcome outcome);
    void end_copy(Outcome outcome);
    void end_other_send(Outcome outcome);
    void record_copy_outcome(Outcome outcome);
    void swap_sends();
    void note_response(TimePoint sent_at, std::uint64_t tokens);
    static bool may_be_relayed(const AnswerHead& head);
    void check_path();
    bool may_be_withdrawn() const;
    Micros time_to_next_check() const;
    Micros time_to_weights_check() const;
    bool retries_silent();
    std::optional<AnswerHead> next_head(const RawHead& raw);
    Outcome take_answer(CallerLink& link, const AnswerHead& head);
    std::optional<Outcome> take_relay_failure(const RawHead& raw);
    Outcome relay_pieces(CallerLink& link, const AnswerHead& head,
                         std::string piece);
    bool retries_failed();
    Outcome relay_whole(CallerLink& link, const AnswerHead& head);
    Outcome relay_events(CallerLink& link, const AnswerHead& head);
    bool send_events(CallerLink& link, const AnswerHead& head,
                     const std::string& events);
    void note_first_event();
    void note_response_time();
    void await_answer_until_due();
    void end_awaiting(bool is_answered);
    void keep_connection(const AnswerHead& head);
    void end_without_answer(CallerLink& link, Outcome outcome);
    void end_blocked(CallerLink& link);
    [[noreturn]] void fail(Outcome outcome);
    [[noreturn]] void fail_limited();
    Micros time_left() const;
    std::uint64_t resident_tokens() const;
    bool has_begun() const { return m_prompt.is_read(); }

    ForwardState& m_state;
    const ForwardedCall& m_call;
    const ServiceRoute& m_route;
    const AccountSettings* m_account;
    const TimePoint m_deadline;
    EventTracker m_events;
    CallPrompt m_prompt;
    RunnerChoice m_choice;
    AdmissionCheck m_admission;
    CrashWatch m_crashes;
    AnswerIntake m_intake;
    RunnerConnector m_connector;
    StreamResumption m_resumption;
    SendState m_send; ///< Of the last send.
    HedgedSend m_hedge;
    /// The last send failed, or was not made, because of this instance's path.
    bool m_path_failed = false;
    NextAvailability m_next_available; ///< As of the last search for a runner.
    bool m_attempted = false; ///< Sent, or tried on the share of another.
    std::uint32_t m_sends = 0;
    std::uint32_t m_runs = 0; ///< Sends that may have run.
    /// A runner's failure, sent to the caller if no retry succeeds.
    std::optional<FailedAnswer> m_failed_answer;
    /// The answer is passed on as it comes: no other runner may begin one.
    bool m_relays_pieces = false;
    bool m_answered_failure = false; ///< The last answer reports a failure.
    bool m_caller_gone = false;
    Micros m_first_event{0};
};

} // namespace crosslink
