// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "forward_state.h"

#include <serve/coordinator/coordinator_link.h>

#include <atomic>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace crosslink
{

/// Learns where the parts of a prompt lie: from this instance's copy of the
/// directory, or from the instance that has the duty where it may be that
/// this call should save some. Safe for many threads.
class KeptAsker
{
public:
    KeptAsker(ForwardState& state, CoordinatorLink& coordinator);

    /// Returns a place for each of `parts` of a prompt, for a call that ends
    /// within `longest`. Where nobody can be asked, all are None.
    KeptAnswer ask(const KeptSpace& space, std::span<const PromptPart> parts,
                   Micros longest);
    /// Returns where `parts` lie as far as this instance's own copy tells;
    /// nothing where the last of them is not known.
    std::optional<KeptAnswer> look(const KeptSpace& space,
                                   std::span<const PromptPart> parts);
    /// Gives back saves of a call that did certainly not run.
    void not_saved(const std::string& space, std::span<const PromptPart> parts,
                   std::span<const KeptPlace> places);

private:
    std::optional<KeptAnswer> ask_coordinator(const KeptSpace& space,
                                              std::span<const PromptPart> parts,
                                              Micros longest, TimePoint asked);

    ForwardState& m_state;
    CoordinatorLink& m_coordinator;
    /// Nobody is asked before.
    std::atomic<TimePoint> m_ask_again{TimePoint{}};
};

} // namespace crosslink
