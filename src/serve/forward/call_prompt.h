// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "forward_state.h"
#include "kept_locator.h"

#include <crosslink/base/time.h>
#include <crosslink/forward/forwarded_call.h>
#include <crosslink/kept/kept_part.h>
#include <crosslink/ports/call_wire.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// The prompt of one forwarded call at the runner that it is sent to: which
/// stores hold the KV of its shared parts, and how many tokens the runner must
/// prefill ("read"). A call without a prompt has no parts and nothing to read.
class CallPrompt
{
public:
    /// All references must outlive this object. `objective` is the route's
    /// latency objective for the first event.
    CallPrompt(ForwardState& state, KeptLocator& kept,
               const ForwardedCall& call, Micros objective);

    /// Returns when the first event of the last send is expected, without the
    /// time of fetches.
    TimePoint expected_at() const { return m_sent.expected; }
    /// Returns the zone from which fetching takes longest for a runner with
    /// the properties `engine`, with that time and the number of tokens that
    /// would be fetched. Only stores that `map` lists are counted.
    KeptNear fetch_estimate(const KeptSpace& space, const ServiceMap& map,
                            const EngineInfo& engine);
    /// Looks up where the KV of the shared parts is stored under `space`, and
    /// adds to `options` what the runner in `zone` is to do with each part. The
    /// call must be a generation that ends within `time_left`.
    void locate_parts(const KeptSpace& space, std::string_view zone,
                      Micros time_left, SendOptions& options);
    /// As locate_parts(), for a second copy of a call that is in flight: by
    /// what this instance knows, and without a save, since the first copy makes
    /// those. Never blocks.
    void locate_for_copy(const KeptSpace& space, std::string_view zone,
                         SendOptions& options);
    /// Exchanges all that is known of the last sends. Both must belong to the
    /// same call.
    void swap(CallPrompt& other) noexcept;
    /// Records that the call is sent at `now` to a runner that is expected to
    /// start on it after `runner_wait`.
    /// Engines of its service prefill `rate` tokens in a millisecond.
    void note_sent(TimePoint now, Micros runner_wait, double rate);
    /// Records the first event of the answer: the prompt has been read.
    void note_first_event();
    /// Records that the call ended at this runner, with or without an event.
    void note_ended();
    /// Releases the saves that were assigned to the call. To be called only if
    /// the call certainly did not run.
    void cancel_saves();

    /// Returns the tokens that the runner must read.
    std::uint64_t tokens_to_read() const { return m_sent.tokens_to_read; }
    /// True once the first event has arrived.
    bool is_read() const { return m_sent.is_read; }
    /// Returns whether the runner fetches any part.
    bool fetches() const;
    /// Returns whether the time to the first event shows how fast the runner
    /// prefills: it fetches nothing, and all shared parts are new to the fleet.
    /// Others may be in the runner's memory already.
    bool measures_prefill() const;
    /// Returns one letter for each shared part, for the log: `f` for fetched,
    /// `s` for read and saved. A part that is only read has the reason: `b`
    /// another call is saving it, `g` it is about to be freed, `a` its store
    /// does not answer, `n` no store has room, `t` its space belongs to an
    /// earlier term, `w` its store is slow, `r` unknown.
    std::string summary() const;

private:
    /// What holds for one send of the call.
    struct SentPrompt {
        std::string space;             ///< Space that the call runs under.
        std::vector<KeptPlace> places; ///< One for each shared part.
        std::string zone;              ///< Of the runner.
        /// The path whose delay the call measures: that of the largest part,
        /// if all parts are fetched; that without a store, if all are
        /// prefilled.
        std::optional<FetchPath> measured;
        std::uint64_t tokens_to_read = 0;
        TimePoint expected{}; ///< Of the first event, without fetch times.
        bool is_read = false;
    };

    void apply_places(const KeptAnswer& answer, SendOptions& options);
    bool fetches_all() const;
    bool prefills_all() const;
    FetchGain gain_of(std::span<const PromptPart> parts) const;
    const std::string& store_of_largest() const;

    ForwardState& m_state;
    KeptLocator& m_kept;
    const ForwardedCall& m_call;
    const Micros m_objective;
    SentPrompt m_sent;
};

} // namespace crosslink
