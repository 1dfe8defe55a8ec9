// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "answer_intake.h"
#include "call_prompt.h"
#include "caller_link.h"
#include "crash_watch.h"
#include "forward_state.h"
#include "kept_asker.h"
#include "runner_choice.h"

#include <crosslink/base/time.h>
#include <crosslink/forward/event_tracker.h>
#include <crosslink/forward/forwarded_call.h>
#include <crosslink/forward/service_map.h>
#include <crosslink/ports/call_wire.h>

#include <cstdint>
#include <exception>
#include <memory>
#include <optional>
#include <string>

namespace crosslink
{

class CallConnection;

/// Carries one call to a runner, and to others where that is allowed, and
/// its answer back.
class ForwardRun
{
public:
    /// All of them outlive it. `holder` is null on open routes.
    ForwardRun(ForwardState& state, KeptAsker& kept, const ForwardedCall& call,
               const ServiceRoute& route, const AccountSettings* holder);
    ~ForwardRun();

    /// Returns once the answer is out or the caller went away. Throws Error
    /// where nothing was sent to the caller.
    void run(CallerLink& link);

    /// Runners that the call was sent to, and the last of them.
    std::uint32_t sends() const { return m_sends; }
    const std::string& runner() const { return m_choice.pick().id; }
    /// Returns the version of the weights that the last send asked for; 0 for
    /// none.
    std::uint64_t weights() const { return m_choice.pick().version; }
    bool caller_gone() const { return m_caller_gone; }
    /// Time from the call's arrival to its first event; 0 where there is none.
    Micros first_event() const { return m_first_event; }
    /// How long the last runner was expected to need before it took the call.
    Micros expected_wait() const { return m_choice.pick().wait; }
    /// What was done with the shared parts of the prompt, for the log.
    std::string kept_summary() const { return m_prompt.summary(); }

private:
    /// What became of the call at one runner.
    enum class Outcome {
        Done,       ///< The answer is out.
        CallerGone, ///< There is nobody to answer.
        NotSent,    ///< No byte of it reached the runner.
        NotRun,     ///< The runner's own word.
        /// As NotRun: the runner has other weights, or is another one.
        Misdirected,
        Broken,   ///< It may have run, and there is no whole answer.
        TimedOut, ///< As Broken, and no time is left.
        /// As Broken: its runner's weights had to give way before it began.
        Outdated,
        /// As Broken: a kept connection said nothing. A repeat was granted.
        Silent,
        /// It ran and failed, by the runner's word. A repeat was granted.
        Failed,
    };

    /// An answer by which a runner said that the call failed there.
    struct FailedAnswer {
        AnswerHead head;
        std::string body;
    };

    bool find_runner();
    void refuse_beyond_limit();
    bool wait_for_runner();
    TimePoint latest_place() const;
    Micros time_to_chance() const;
    Micros time_after_refusals();
    Outcome attempt(CallerLink& link);
    void note_sent();
    void note_ended(Outcome outcome);
    void look_at_runner(Outcome outcome, bool silent);
    bool may_go_on(Outcome outcome);
    bool take_repeat();
    void settle(Outcome outcome);
    SendOptions terms();
    bool connect(bool& reused);
    bool note_lost_contact(const std::exception& failure);
    Outcome exchange(CallerLink& link, const SendOptions& terms);
    Outcome send_and_relay(CallerLink& link, const SendOptions& terms);
    std::optional<Outcome> await_answer();
    bool waits_on_weights() const;
    Micros next_look() const;
    Micros next_weights_look() const;
    bool gives_up_silent();
    std::optional<AnswerHead> next_head();
    Outcome take_answer(CallerLink& link, const AnswerHead& head);
    bool repeats_failed();
    Outcome relay_whole(CallerLink& link, const AnswerHead& head);
    Outcome relay_events(CallerLink& link, const AnswerHead& head);
    bool send_events(CallerLink& link, const AnswerHead& head,
                     const std::string& events);
    void saw_first_event();
    void keep_connection(const AnswerHead& head);
    void give_up(CallerLink& link, Outcome outcome);
    void end_blocked(CallerLink& link);
    [[noreturn]] void fail(Outcome outcome);
    [[noreturn]] void fail_limited();
    Micros time_left() const;
    std::uint64_t resident_tokens() const;
    bool has_begun() const { return m_prompt.is_read(); }

    ForwardState& m_state;
    const ForwardedCall& m_call;
    const ServiceRoute& m_route;
    const AccountSettings* m_holder;
    const TimePoint m_deadline;
    EventTracker m_events;
    CallPrompt m_prompt;
    RunnerChoice m_choice;
    CrashWatch m_crashes;
    AnswerIntake m_intake;
    std::unique_ptr<CallConnection> m_connection;
    TimePoint m_sent_at{};      ///< To the runner of the last send.
    TimePoint m_connected_at{}; ///< When it was taken or made.
    /// When a kept connection counts as silent; nothing once it has answered.
    std::optional<TimePoint> m_silent_at;
    NextAvailability m_next_available; ///< As of the last look for a runner.
    std::uint32_t m_sends = 0;
    std::uint32_t m_runs = 0; ///< Sends that may have run.
    /// A runner's failure that goes to the caller where no repeat does better.
    std::optional<FailedAnswer> m_failed_answer;
    bool m_answered_failure = false; ///< By the last answer's own word.
    bool m_caller_gone = false;
    Micros m_first_event{0};
};

} // namespace crosslink
