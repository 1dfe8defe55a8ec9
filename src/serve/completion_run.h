// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "caller_watch.h"
#include "canceler.h"
#include "completion_call.h"
#include "export_duty.h"
#include "instance_state.h"
#include "kept_fetch.h"
#include "request_crashes.h"

#include <crosslink/base/error.h>
#include <crosslink/relay/relay.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace crosslink
{

/// Token times of one answer, for the burn report.
struct AnswerTimes {
    std::optional<TimePoint> first_token;
    TimePoint last_token{};
    Micros slowest_between{0};
};

/// The background duties that a run uses.
struct RunDuties {
    ExportDuty& exports;
    CallerWatch& watch;
    Canceler& canceler;
};

/// Runs one completion to its end: routes it, fetches kept blocks, sends it to
/// an engine and relays the answer. Resumes an interrupted stream at the same
/// engine, or continues at another engine after the tokens that the caller
/// already has.
class CompletionRun
{
public:
    /// Sends one token to the caller. Returns false where the caller has
    /// disconnected.
    using TokenSink = std::function<bool(std::string_view text)>;

    CompletionRun(InstanceState& state, RunDuties& duties,
                  const CompletionCall& call, TokenSink sink);

    /// Returns once the answer is complete or the caller has disconnected.
    /// Throws Error whose run_state() holds for all attempts together. `socket`
    /// is the caller's, -1 for none.
    void run(int socket);

    const Relay& relay() const { return m_relay; }
    const AnswerTimes& times() const { return m_times; }
    std::uint32_t attempts() const { return m_attempts; }
    bool caller_gone() const { return m_caller_gone; }

private:
    RouteChoice route();
    void attempt(const RouteChoice& choice);
    EngineRun make_engine_run() const;
    /// Records the attempt in the relay, the crash history, the routing tables
    /// and the metrics, before its first byte is sent. Throws Error where the
    /// engine is leaving.
    void record_attempt(const RouteChoice& choice, const EngineRun& run);
    void dispatch(const RouteChoice& choice, const std::string& staged_id);
    bool can_resume(const Error& failure) const;
    bool resume(const std::string& address, const std::string& run_id);
    FrameVerdict handle_frame(const std::string& address,
                              const EngineFrame& frame);
    void relay_text(const std::string& text);
    /// Returns whether the request may be retried after `failure`; if so, takes
    /// the retry from the budget of the account.
    bool take_retry(const Error& failure);
    void handle_failure(const std::string& address, const Error& failure);
    void reject_if_blocked();
    void probe_for_end(const std::string& address);
    void cancel_current();

    InstanceState& m_state;
    RunDuties& m_duties;
    const CompletionCall& m_call;
    const TokenSink m_sink;
    Relay m_relay;
    RequestCrashes m_crashes;
    AnswerTimes m_times;
    KeptBlocks m_kept_blocks;
    std::set<std::string> m_failed_engines;
    std::uint32_t m_attempts = 0;
    bool m_may_have_run = false; ///< Some attempt may have run.
    bool m_has_gap = false;      ///< The last frame left a gap.
    bool m_wrong_weights = false;
    std::atomic<bool> m_caller_gone{false};
    std::mutex m_current_mutex;
    std::string m_current_engine; ///< Address; engine of the latest attempt.
    std::string m_current_run;
};

} // namespace crosslink
