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

/// Maintains the directory of stored KV while this instance holds the
/// coordinator duty: reads what the stores contain, and tells them to free the
/// parts that the directory evicts. Idle otherwise.
class KeptDuties
{
public:
    /// `state` and `weights` must outlive this object.
    KeptDuties(ForwardState& state, WeightsDuty& weights);

    /// Starts the thread that frees parts; adopt_stores() starts one for each
    /// store. To be called by the thread that calls adopt_stores(), as stop().
    void start() { m_free_duty.start(); }
    /// Ends all threads.
    void stop();
    /// Begins with an empty directory when this instance takes the duty, with
    /// the fencing token `token`.
    void begin(std::uint64_t token);
    /// Adopts the stores of the configuration in force. To be called by one
    /// thread only.
    void adopt_stores();
    /// Reads the stores at once, when this instance has taken the duty. To be
    /// called by the thread that calls adopt_stores().
    void wake();
    /// Returns where `parts` are stored, for a call that ends within `longest`.
    /// `now` is a time at which this instance was allowed to answer. Throws
    /// Error(LeaseLost) after stop_answering().
    KeptAnswer locate(const KeptSpace& space, std::span<const PromptPart> parts,
                      Micros longest, TimePoint now);
    /// See KeptDirectory::update_since(). Throws Error(LeaseLost) after
    /// stop_answering().
    KeptUpdate update_since(std::uint64_t term, std::uint64_t place,
                            TimePoint now);
    /// Answers nothing more until the next begin(), at the request of the
    /// holder with the fencing token `token`. Returns false, and goes on
    /// answering, if that is not a later holder.
    bool stop_answering(std::uint64_t token);
    /// Cancels the saves of `parts` that were assigned to a call that did not
    /// run.
    void cancel_saves(const std::string& space,
                      std::span<const PromptPart> parts);

private:
    /// The directory with the state of its updates.
    struct DirectoryState {
        KeptDirectory directory;
        std::uint64_t token = 0;       ///< Fencing token of the own lease.
        bool stopped = false;          ///< stop_answering() was called.
        bool earlier_stopped = false;  ///< All earlier holders have stopped.
        std::uint64_t map_version = 0; ///< Configuration of the stores.
        /// Position of the next change to read, by store.
        std::map<std::string, std::uint64_t, std::less<>> next;
    };
    using OldestVersions = std::map<std::string, std::uint64_t, std::less<>>;

    static void require_answering(const DirectoryState& kept);
    void stop_earlier_holders();
    OldestVersions oldest_versions();
    Micros free_round();
    void free_due();
    Micros store_round(const std::string& address);
    void list_store(const std::string& address);
    void follow_store(const std::string& address, std::uint64_t after);

    ForwardState& m_state;
    WeightsDuty& m_weights;
    Guarded<DirectoryState> m_kept;
    /// By address.
    std::map<std::string, std::unique_ptr<Duty>> m_store_duties;
    Duty m_free_duty;
};

} // namespace crosslink
