// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "forward_state.h"
#include "kept_asker.h"

#include <crosslink/base/time.h>
#include <crosslink/forward/forwarded_call.h>
#include <crosslink/kept/kept_part.h>
#include <crosslink/ports/call_wire.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// The prompt of one forwarded call at the runner that it is sent to: where
/// its shared parts lie, and how much of it the runner must read. A call
/// without a prompt has no parts and nothing to read.
class CallPrompt
{
public:
    /// All of them outlive it. `objective` is the route's, to the first event.
    CallPrompt(ForwardState& state, KeptAsker& kept, const ForwardedCall& call,
               Micros objective);

    /// Returns the zone from which a runner that is such an `engine` would
    /// fetch most, of the stores of `map`.
    KeptNear near(const KeptSpace& space, const ServiceMap& map,
                  const EngineInfo& engine);
    /// Learns where the shared parts lie whose KV is of `space`, and adds to
    /// `terms` what the runner, which is in `zone`, is to do with them. The
    /// call must be a generation that ends within `time_left`.
    void ask(const KeptSpace& space, std::string_view zone, Micros time_left,
             SendOptions& terms);
    /// Takes note that the call is sent at `now` to a runner that is expected
    /// to take it up after `runner_wait`.
    void sent(TimePoint now, Micros runner_wait);
    /// Takes note that its first event came: the prompt is read.
    void first_event();
    /// Takes note that the call ended at this runner, with an event or
    /// without.
    void ended();
    /// Gives back what the call was to save, where it did certainly not run.
    void not_run();

    /// Returns the tokens that the runner must read.
    std::uint64_t tokens_to_read() const { return m_tokens_to_read; }
    /// True once the first event came.
    bool is_read() const { return m_read; }
    /// Returns a letter for each shared part, for the log: f where it is
    /// fetched, s where it is read and saved; where it is read, why: b another
    /// call saves it, g it is about to be freed, a its store is away, n no
    /// room, t of an earlier term, w its store is slow, r unknown.
    std::string summary() const;

private:
    void fetch_or_read(const KeptAnswer& answer, SendOptions& terms);
    bool fetches_all() const;
    const std::string& store_of_largest() const;

    ForwardState& m_state;
    KeptAsker& m_kept;
    const ForwardedCall& m_call;
    const Micros m_objective;
    std::string m_space;             ///< Under which the call runs.
    std::vector<KeptPlace> m_places; ///< One for each shared part.
    std::string m_zone;              ///< Of the runner.
    /// Of the largest part, where the call tells of its store.
    std::optional<FetchPath> m_watched;
    std::uint64_t m_tokens_to_read = 0;
    TimePoint m_expected{}; ///< Of the first event, without its fetches.
    bool m_read = false;
};

} // namespace crosslink
