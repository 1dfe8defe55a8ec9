// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "weights_duty.h"

#include <serve/duty.h>
#include <serve/forward/forward_state.h>
#include <serve/guarded.h>

#include <crosslink/forward/forwarded_call.h>
#include <crosslink/kept/kept_directory.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>

namespace crosslink
{

/// Keeps the directory of kept KV while this instance has the duty: learns
/// what the stores have, and has them free what is let go. Idle else.
class KeptDuties
{
public:
    /// Both outlive it.
    KeptDuties(ForwardState& state, WeightsDuty& weights);

    /// Begins with an empty directory: the duty is this instance's from now
    /// on, under `token`.
    void begin(std::uint64_t token);
    /// Follows the stores of the configuration in force. Called by one thread
    /// alone.
    void follow_map();
    /// Looks at the stores at once, at the beginning of the duty. Called by
    /// the thread of follow_map().
    void wake();
    /// Answers where `parts` lie, for a call that ends within `longest`, as of
    /// `now`, at which this instance may tell. Throws Error(LeaseLost) after
    /// stop_answering().
    KeptAnswer ask(const KeptSpace& space, std::span<const PromptPart> parts,
                   Micros longest, TimePoint now);
    /// See KeptDirectory::update_since(). Throws Error(LeaseLost) after
    /// stop_answering().
    KeptUpdate update_since(std::uint64_t term, std::uint64_t place,
                            TimePoint now);
    /// Tells nothing more until the next begin(), for the holder with `token`.
    /// Returns false where that is no later holder.
    bool stop_answering(std::uint64_t token);
    /// Takes note of parts that were told to be saved by a call that did not
    /// run.
    void cancel_saves(const std::string& space,
                      std::span<const PromptPart> parts);

private:
    /// The directory with what feeds it.
    struct Kept {
        KeptDirectory directory;
        std::uint64_t token = 0;       ///< Of the duty, here.
        bool silent = false;           ///< A later holder asked for it.
        bool others_silent = false;    ///< So did all earlier holders.
        std::uint64_t map_version = 0; ///< The stores are from this one.
        std::map<std::string, std::uint64_t, std::less<>> next; ///< By store.
    };
    using OldestVersions = std::map<std::string, std::uint64_t, std::less<>>;

    static void require_telling(const Kept& kept);
    void silence_earlier();
    OldestVersions oldest_versions();
    Micros free_round();
    void free_due();
    Micros store_round(const std::string& address);
    void list_store(const std::string& address);
    void follow_store(const std::string& address, std::uint64_t after);

    ForwardState& m_state;
    WeightsDuty& m_weights;
    Guarded<Kept> m_kept;
    /// By address.
    std::map<std::string, std::unique_ptr<Duty>> m_store_duties;
    Duty m_free_duty;
};

} // namespace crosslink
